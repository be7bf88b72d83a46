//! Links between some nodes and all others, which can be cut.
//!
//! Each node is reached from the other side of the links at a second address, at which its bytes
//! are passed on. The store's answers name these addresses to the nodes on the other side.

use std::{
    cell::Cell,
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
    time::sleep,
};

/// Time between two looks at whether a link that is cut has healed.
const POLL: Duration = Duration::from_millis(20);

/// A node as it registers itself.
#[derive(Debug, Clone)]
pub struct Member {
    /// Where the other nodes reach it.
    pub peers: SocketAddr,
    pub zone: String,
}

impl Member {
    fn registration(&self, address: SocketAddr) -> String {
        base64(format!("{address} {}", self.zone).as_bytes())
    }
}

/// Returns the address at which a node is reached over the links; as long as its own.
pub fn other_side(address: SocketAddr) -> SocketAddr {
    let IpAddr::V4(ip) = address.ip() else { return address };
    let [a, b, c, d] = ip.octets();
    SocketAddr::from(([a, b, c, d + 20], address.port()))
}

/// The links of some nodes to the others.
#[derive(Clone, Default)]
pub struct Links {
    is_cut: Rc<Cell<bool>>,
}

/// Sockets at the other side's addresses of nodes, by their own addresses.
type Sockets = Rc<HashMap<SocketAddr, Rc<UdpSocket>>>;

async fn sockets_for(members: &[Member]) -> Sockets {
    let mut sockets = HashMap::new();
    for member in members {
        let socket = UdpSocket::bind(other_side(member.peers)).await.expect("a free port");
        sockets.insert(member.peers, Rc::new(socket));
    }
    Rc::new(sockets)
}

impl Links {
    pub fn cut(&self) {
        self.is_cut.set(true);
    }

    pub fn heal(&self) {
        self.is_cut.set(false);
    }

    /// Passes on datagrams and connections between the nodes of `apart` and the others.
    pub async fn start(&self, apart: &[Member], others: &[Member]) {
        let (outer, inner) = (sockets_for(apart).await, sockets_for(others).await);
        for (to, socket) in &*inner {
            self.pass_datagrams(socket.clone(), *to, outer.clone());
        }
        for (to, socket) in &*outer {
            self.pass_datagrams(socket.clone(), *to, inner.clone());
        }
        for member in apart.iter().chain(others) {
            self.listen(other_side(member.peers), member.peers).await;
        }
    }

    /// Passes on what arrives for a node, from the other side's address of its sender.
    fn pass_datagrams(&self, socket: Rc<UdpSocket>, to: SocketAddr, senders: Sockets) {
        let links = self.clone();
        actix_rt::spawn(async move {
            let mut buf = vec![0; 65_536];
            while let Ok((n, from)) = socket.recv_from(&mut buf).await {
                if let Some(sender) = senders.get(&from).filter(|_| !links.is_cut.get()) {
                    let _sent = sender.send_to(&buf[..n], to).await;
                }
            }
        });
    }

    async fn listen(&self, at: SocketAddr, to: SocketAddr) {
        let listener = TcpListener::bind(at).await.expect("a free port");
        let links = self.clone();
        actix_rt::spawn(async move {
            while let Ok((io, _)) = listener.accept().await {
                let links = links.clone();
                actix_rt::spawn(async move { links.connect(io, to).await });
            }
        });
    }

    async fn connect(&self, io: TcpStream, to: SocketAddr) {
        self.wait().await;
        let Ok(onward) = TcpStream::connect(to).await else { return };
        let ((from_a, to_a), (from_b, to_b)) = (io.into_split(), onward.into_split());
        let links = self.clone();
        actix_rt::spawn(async move { links.copy(from_a, to_b).await });
        self.copy(from_b, to_a).await;
    }

    async fn copy(&self, mut from: impl AsyncRead + Unpin, mut to: impl AsyncWrite + Unpin) {
        let mut buf = vec![0; 16_384];
        while let Ok(n @ 1..) = from.read(&mut buf).await {
            self.wait().await;
            if to.write_all(&buf[..n]).await.is_err() {
                return;
            }
        }
    }

    async fn wait(&self) {
        while self.is_cut.get() {
            sleep(POLL).await;
        }
    }
}

/// Passes on calls to the store, whose answers name the other side's address of `members`; returns
/// the address to call. While `links` are cut, nothing is passed on.
pub async fn store_for(store: SocketAddr, members: &[Member], links: &Links) -> SocketAddr {
    let links = links.clone();
    let names = members.iter().map(|member| {
        let named = other_side(member.peers);
        (member.registration(member.peers), member.registration(named))
    });
    let names: Rc<Vec<_>> = Rc::new(names.collect());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    actix_rt::spawn(async move {
        while let Ok((io, _)) = listener.accept().await {
            let (names, links) = (names.clone(), links.clone());
            actix_rt::spawn(async move {
                links.wait().await;
                let Ok(onward) = TcpStream::connect(store).await else { return };
                let (from_node, mut to_node) = io.into_split();
                let (mut from_store, to_store) = onward.into_split();
                let calls = links.clone();
                actix_rt::spawn(async move { calls.copy(from_node, to_store).await });
                let mut buf = vec![0; 1 << 20];
                while let Ok(n @ 1..) = from_store.read(&mut buf).await {
                    links.wait().await;
                    names.iter().for_each(|(own, other)| replace(&mut buf[..n], own, other));
                    if to_node.write_all(&buf[..n]).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Replaces a text by another one of the same length.
fn replace(bytes: &mut [u8], text: &str, by: &str) {
    assert_eq!(text.len(), by.len(), "answers keep their length");
    let len = text.len();
    let mut at = 0;
    while at + len <= bytes.len() {
        if &bytes[at..at + len] == text.as_bytes() {
            bytes[at..at + len].copy_from_slice(by.as_bytes());
            at += len;
        } else {
            at += 1;
        }
    }
}

/// Returns bytes as standard base64 text, as values of the store are.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |at: usize| u32::from(group.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            let digit = char::from(DIGITS[(bits >> (18 - 6 * at)) as usize & 63]);
            text.push(if at <= group.len() { digit } else { '=' });
        }
    }
    text
}
