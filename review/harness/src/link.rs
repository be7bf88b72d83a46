//! A link between one node and one service of the platform, as a TCP proxy that can be cut.
//!
//! A cut is a partition, as TCP meets it: nothing passes in either direction and nobody is told.
//! What the node sends on a connection that was open before is held. After the end of the cut it
//! arrives with the next retransmission of the first segment that was not acknowledged, whose
//! timer starts at 200 ms and doubles (RFC 6298). If the node has reset the connection by then, it
//! is lost. A connection that the node opened during the cut was never established: nothing that
//! was sent on it arrives.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time::{Instant, sleep_until},
};

use crate::record::Record;

/// First value of the retransmission timer.
const FIRST_RETRANSMISSION: Duration = Duration::from_millis(200);

/// A link; clones share its state.
#[derive(Clone)]
pub(crate) struct Link(Rc<Shared>);

struct Shared {
    name: String,
    target: SocketAddr,
    address: SocketAddr,
    is_cut: watch::Sender<bool>,
    healed_at: RefCell<Vec<Instant>>,
    record: RefCell<Record>,
}

impl Link {
    /// Starts a link to `target` on a free port of loopback.
    pub(crate) async fn start(name: String, target: SocketAddr, record: Record) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let link = Link(Rc::new(Shared {
            name,
            target,
            address,
            is_cut: watch::Sender::new(false),
            healed_at: RefCell::default(),
            record: RefCell::new(record),
        }));
        let accepting = link.clone();
        actix_rt::spawn(async move {
            loop {
                let Ok((io, _)) = listener.accept().await else { continue };
                let link = accepting.clone();
                actix_rt::spawn(async move {
                    let _closed = link.relay(io).await;
                });
            }
        });
        link
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// Returns when each cut ended.
    pub(crate) fn healed_at(&self) -> Vec<Instant> {
        self.0.healed_at.borrow().clone()
    }

    pub(crate) fn cut(&self) {
        self.0.is_cut.send_replace(true);
    }

    pub(crate) fn heal(&self) {
        self.0.healed_at.borrow_mut().push(Instant::now());
        self.0.is_cut.send_replace(false);
    }

    fn is_cut(&self) -> bool {
        *self.0.is_cut.borrow()
    }

    async fn wait_until_healed(&self) {
        let mut is_cut = self.0.is_cut.subscribe();
        let _sender_lives = is_cut.wait_for(|is_cut| !is_cut).await;
    }

    async fn relay(&self, io: TcpStream) -> io::Result<()> {
        if self.is_cut() {
            self.wait_until_healed().await;
            return reset(&io);
        }
        io.set_nodelay(true)?;
        let platform = TcpStream::connect(self.0.target).await?;
        platform.set_nodelay(true)?;
        let (from_node, to_node) = io.into_split();
        let (from_platform, to_platform) = platform.into_split();
        let back = self.clone();
        let backward = actix_rt::spawn(async move {
            let _closed = back.backward(from_platform, to_node).await;
        });
        let result = self.forward(from_node, to_platform).await;
        // A node that is done with the connection reads no more of it.
        backward.abort();
        result
    }

    /// Passes on what the platform sends; a cut holds it.
    async fn backward(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) -> io::Result<()> {
        let mut buf = vec![0; 64 * 1024];
        loop {
            let n = from.read(&mut buf).await?;
            self.wait_until_healed().await;
            if n == 0 {
                return to.shutdown().await;
            }
            to.write_all(&buf[..n]).await?;
        }
    }

    /// Passes on what the node sends; a cut holds it until a retransmission after its end.
    async fn forward(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) -> io::Result<()> {
        let mut buf = vec![0; 64 * 1024];
        loop {
            let n = from.read(&mut buf).await?;
            if self.is_cut() {
                return self.hold(buf[..n].to_vec(), from, to).await;
            }
            if n == 0 {
                return to.shutdown().await;
            }
            to.write_all(&buf[..n]).await?;
        }
    }

    /// Holds what the node sends during a cut, and passes it on afterwards.
    async fn hold(
        &self,
        mut held: Vec<u8>,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
    ) -> io::Result<()> {
        let sent_at = Instant::now();
        let mut is_closed = held.is_empty();
        let mut buf = vec![0; 64 * 1024];
        while self.is_cut() && !is_closed {
            tokio::select! {
                read = from.read(&mut buf) => match read {
                    Ok(0) => is_closed = true,
                    Ok(n) => held.extend_from_slice(&buf[..n]),
                    Err(err) => {
                        self.note(&format!("{} bytes lost: the node reset: {err}", held.len()));
                        return Err(err);
                    }
                },
                () = self.wait_until_healed() => {}
            }
        }
        self.wait_until_healed().await;
        sleep_until(next_retransmission(sent_at, Instant::now())).await;
        // A reset after the close is seen only by reading again.
        if let Err(err) = from.as_ref().take_error().and_then(|err| err.map_or(Ok(()), Err)) {
            self.note(&format!("{} bytes lost: the node reset: {err}", held.len()));
            return Err(err);
        }
        if !held.is_empty() {
            self.note(&format!("{} bytes that the cut held arrive", held.len()));
        }
        to.write_all(&held).await?;
        if is_closed {
            return to.shutdown().await;
        }
        Box::pin(self.forward(from, to)).await
    }

    fn note(&self, text: &str) {
        self.0.record.borrow().line(format!("link {}: {text}", self.0.name));
    }
}

/// Returns when a segment that was first sent at `sent_at` is sent again at or after `now`.
fn next_retransmission(sent_at: Instant, now: Instant) -> Instant {
    let mut timer = FIRST_RETRANSMISSION;
    let mut at = sent_at + timer;
    while at < now {
        timer *= 2;
        at += timer;
    }
    at
}

fn reset(io: &TcpStream) -> io::Result<()> {
    #[expect(deprecated, reason = "with no linger time, closing doesn't block")]
    io.set_linger(Some(Duration::ZERO))
}
