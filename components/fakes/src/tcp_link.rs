//! A TCP link on loopback that can be cut, with the retransmission of the operating system.
//!
//! The link is a proxy. A cut attaches a socket filter that drops every segment which the sender's
//! kernel sends to the proxy, acknowledgements and resets included, and holds what the target
//! sends back. Nobody is told. The sender's kernel keeps what was not acknowledged and sends it
//! again after the cut, unless the sender has reset the connection or `TCP_USER_TIMEOUT` has ended
//! it by then; a process that was killed, stopped or paused is no exception.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};

use socket2::{SockFilter, SockRef};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time::{Instant, sleep},
};

/// Instruction `BPF_RET | BPF_K` of a classic socket filter: accept `k` bytes of the packet.
const RETURN_CONSTANT: u16 = 0x06;

/// Delay before the next connection is accepted after a failure.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Maximum number of bytes that are read at once.
const BUFFER_BYTES: usize = 64 * 1024;

/// A link from any number of senders to one target; clones share its state.
#[derive(Clone)]
pub struct TcpLink(Rc<Shared>);

struct Shared {
    address: SocketAddr,
    target: SocketAddr,
    listener: TcpListener,
    is_cut: watch::Sender<bool>,
    /// Reading halves of the connections that senders opened.
    connections: RefCell<Vec<Rc<OwnedReadHalf>>>,
    healed_at: RefCell<Vec<Instant>>,
}

impl TcpLink {
    /// Starts a link to `target` on a free port of loopback.
    pub async fn start(target: SocketAddr) -> TcpLink {
        let listener = TcpListener::bind(crate::entry::any_port()).await.unwrap();
        let link = TcpLink(Rc::new(Shared {
            address: listener.local_addr().unwrap(),
            target,
            listener,
            is_cut: watch::Sender::new(false),
            connections: RefCell::default(),
            healed_at: RefCell::default(),
        }));
        actix_rt::spawn(accept(link.clone()));
        link
    }

    /// Returns the address that senders connect to.
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// Cuts the link in both directions, also for new connections.
    pub fn cut(&self) {
        self.0.is_cut.send_replace(true);
        drop_segments(&SockRef::from(&self.0.listener));
        for connection in self.0.connections.borrow().iter() {
            drop_segments(&SockRef::from(connection.as_ref().as_ref()));
        }
    }

    /// Ends a cut.
    pub fn heal(&self) {
        if !self.is_cut() {
            return;
        }
        pass_segments(&SockRef::from(&self.0.listener));
        for connection in self.0.connections.borrow().iter() {
            pass_segments(&SockRef::from(connection.as_ref().as_ref()));
        }
        self.0.healed_at.borrow_mut().push(Instant::now());
        self.0.is_cut.send_replace(false);
    }

    /// Returns whether the link is cut.
    pub fn is_cut(&self) -> bool {
        *self.0.is_cut.borrow()
    }

    /// Returns when each cut ended.
    pub fn healed_at(&self) -> Vec<Instant> {
        self.0.healed_at.borrow().clone()
    }

    async fn wait_until_healed(&self) {
        let mut is_cut = self.0.is_cut.subscribe();
        let _sender_lives = is_cut.wait_for(|is_cut| !is_cut).await;
    }

    async fn relay(&self, io: TcpStream) -> io::Result<()> {
        io.set_nodelay(true)?;
        let (from_sender, to_sender) = io.into_split();
        let from_sender = Rc::new(from_sender);
        self.0.connections.borrow_mut().push(from_sender.clone());
        if self.is_cut() {
            drop_segments(&SockRef::from(from_sender.as_ref().as_ref()));
        }
        let relayed = self.relay_both_ways(&from_sender, to_sender).await;
        self.0.connections.borrow_mut().retain(|other| !Rc::ptr_eq(other, &from_sender));
        relayed
    }

    async fn relay_both_ways(
        &self,
        from_sender: &OwnedReadHalf,
        to_sender: OwnedWriteHalf,
    ) -> io::Result<()> {
        let target = TcpStream::connect(self.0.target).await?;
        target.set_nodelay(true)?;
        let (from_target, to_target) = target.into_split();
        // The first end of either direction ends the connection, as the close of a process does.
        tokio::select! {
            forwarded = forward(from_sender, to_target) => forwarded,
            returned = self.send_back(from_target, to_sender) => returned,
        }
    }

    /// Passes on what the target sends; a cut holds it.
    async fn send_back(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) -> io::Result<()> {
        let mut buf = vec![0; BUFFER_BYTES];
        loop {
            let n = from.read(&mut buf).await?;
            self.wait_until_healed().await;
            if n == 0 {
                return to.shutdown().await;
            }
            to.write_all(&buf[..n]).await?;
        }
    }
}

async fn accept(link: TcpLink) {
    loop {
        let Ok((io, _)) = link.0.listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let link = link.clone();
        actix_rt::spawn(async move {
            let _closed = link.relay(io).await;
        });
    }
}

/// Passes on what the sender sends, until it closes its end.
async fn forward(from: &OwnedReadHalf, mut to: OwnedWriteHalf) -> io::Result<()> {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        from.readable().await?;
        match from.try_read(&mut buf) {
            Ok(0) => return to.shutdown().await,
            Ok(n) => to.write_all(&buf[..n]).await?,
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
            Err(err) => return Err(err),
        }
    }
}

/// Makes the kernel drop every segment that arrives at a socket.
fn drop_segments(socket: &SockRef<'_>) {
    let accept_no_byte = SockFilter::new(RETURN_CONSTANT, 0, 0, 0);
    socket.attach_filter(&[accept_no_byte]).expect("sockets take a filter");
}

fn pass_segments(socket: &SockRef<'_>) {
    // A connection that was accepted after the end of the cut has none.
    let _had_filter = socket.detach_filter();
}
