//! A UDP relay that can drop its flow state, like a NAT between two nodes.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::{net::UdpSocket, task::spawn_local};

/// Maximum size of a relayed datagram, in bytes.
const MAX_DATAGRAM: usize = 2048;

/// Relays datagrams to one node; flows that were dropped never work again.
pub(crate) struct Relay {
    addr: SocketAddr,
    state: Arc<State>,
}

struct State {
    socket: UdpSocket,
    target: Mutex<Option<SocketAddr>>,
    flows: Mutex<HashMap<SocketAddr, Flow>>,
    epoch: AtomicU64,
}

#[derive(Clone)]
struct Flow {
    epoch: u64,
    socket: Arc<UdpSocket>,
}

impl Relay {
    pub(crate) async fn start() -> Relay {
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let addr = socket.local_addr().unwrap();
        let state = State {
            socket,
            target: Mutex::default(),
            flows: Mutex::default(),
            epoch: AtomicU64::new(0),
        };
        let state = Arc::new(state);
        spawn_local(relay_to_target(state.clone()));
        Relay { addr, state }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub(crate) fn set_target(&self, target: SocketAddr) {
        *self.state.target.lock().unwrap() = Some(target);
    }

    /// Drops the state of all existing flows; new flows work.
    pub(crate) fn drop_flows(&self) {
        self.state.epoch.fetch_add(1, Ordering::SeqCst);
    }
}

async fn relay_to_target(state: Arc<State>) {
    let mut buf = [0; MAX_DATAGRAM];
    while let Ok((len, from)) = state.socket.recv_from(&mut buf).await {
        let Some(target) = *state.target.lock().unwrap() else { continue };
        let known = state.flows.lock().unwrap().get(&from).cloned();
        let flow = match known {
            Some(flow) => flow,
            None => open_flow(&state, from).await,
        };
        if flow.epoch == state.epoch.load(Ordering::SeqCst) {
            let _lossy = flow.socket.send_to(&buf[..len], target).await;
        }
    }
}

async fn open_flow(state: &Arc<State>, from: SocketAddr) -> Flow {
    let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
    let flow = Flow { epoch: state.epoch.load(Ordering::SeqCst), socket };
    state.flows.lock().unwrap().insert(from, flow.clone());
    spawn_local(relay_to_client(state.clone(), flow.clone(), from));
    flow
}

async fn relay_to_client(state: Arc<State>, flow: Flow, to: SocketAddr) {
    let mut buf = [0; MAX_DATAGRAM];
    while let Ok((len, _)) = flow.socket.recv_from(&mut buf).await {
        if flow.epoch == state.epoch.load(Ordering::SeqCst) {
            let _lossy = state.socket.send_to(&buf[..len], to).await;
        }
    }
}
