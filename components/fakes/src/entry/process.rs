//! An upstream in a process of its own, which a supervisor starts again when it has ended.

use std::{
    cell::RefCell,
    io::{self, Write},
    net::{SocketAddr, TcpListener},
    os::fd::{AsFd, OwnedFd},
    process::Stdio,
    rc::Rc,
};

use actix_rt::task::JoinHandle;
use rustix::process::{Signal, getpid, kill_process};
use tokio::{
    io::{AsyncBufReadExt, BufReader},
    process::{Child, Command},
    sync::Notify,
    time::{Instant, sleep},
};

use super::{Behavior, Crash, CrashRule, CrashSignal, ExecutedRequest, ScriptedUpstream, any_port};

/// Variable that holds the rule of an upstream's process.
const RULE_VARIABLE: &str = "LYCHEELATCH_FAKE_UPSTREAM";

/// What precedes the identifier of a request in the line that a process writes before it crashes.
const CRASH_PREFIX: &str = "crashes on ";

/// What precedes it in the line that a process writes when it starts to execute a request.
const EXECUTION_PREFIX: &str = "executes ";

/// What the supervisor does with the listener while the process is down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerOwner {
    /// The process owns it; new connections are refused while the process is down.
    Process,
    /// The supervisor keeps it; new connections wait for the next process.
    Supervisor,
}

/// An upstream in a process of its own; dropping it kills the process.
pub struct UpstreamProcess {
    address: SocketAddr,
    reported: Rc<RefCell<Reported>>,
    killed: Rc<Notify>,
    supervisor: JoinHandle<()>,
}

/// What the processes of one upstream have written.
#[derive(Default)]
struct Reported {
    executed: Vec<ExecutedRequest>,
    crashes: Vec<Crash>,
}

impl UpstreamProcess {
    /// Starts an upstream that echoes requests, and starts it again whenever it has ended.
    ///
    /// `program` returns the command of a process that calls [`serve_as_process`].
    pub fn start(
        program: impl Fn() -> std::process::Command + 'static,
        rule: CrashRule,
        owner: ListenerOwner,
    ) -> UpstreamProcess {
        let listener = TcpListener::bind(any_port()).expect("a free port");
        let address = listener.local_addr().expect("the listener is bound");
        let reported = Rc::<RefCell<Reported>>::default();
        let killed = Rc::new(Notify::new());
        let supervised = Supervised {
            program,
            rule,
            owner,
            address,
            reported: reported.clone(),
            killed: killed.clone(),
        };
        let supervisor = actix_rt::spawn(supervised.run(listener));
        UpstreamProcess { address, reported, killed, supervisor }
    }

    /// Kills the process, for no reason of a request; it is started again like after a crash.
    pub fn kill(&self) {
        self.killed.notify_waiters();
    }

    /// Returns the address that the upstream listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the requests on which the upstream crashed.
    pub fn crashes(&self) -> Vec<Crash> {
        self.reported.borrow().crashes.clone()
    }

    /// Returns the requests whose execution started.
    pub fn executed(&self) -> Vec<ExecutedRequest> {
        self.reported.borrow().executed.clone()
    }
}

impl Drop for UpstreamProcess {
    fn drop(&mut self) {
        self.supervisor.abort();
    }
}

struct Supervised<F> {
    program: F,
    rule: CrashRule,
    owner: ListenerOwner,
    address: SocketAddr,
    reported: Rc<RefCell<Reported>>,
    killed: Rc<Notify>,
}

impl<F: Fn() -> std::process::Command> Supervised<F> {
    async fn run(self, first: TcpListener) {
        let mut listener = Some(first);
        loop {
            let own = match listener.take() {
                Some(own) => own,
                None => self.bind().await,
            };
            if self.owner == ListenerOwner::Supervisor {
                listener = Some(own.try_clone().expect("a descriptor is free"));
            }
            let child = self.spawn(own);
            self.watch(child).await;
            sleep(self.rule.down).await;
        }
    }

    fn spawn(&self, listener: TcpListener) -> Child {
        let mut command = Command::from((self.program)());
        let rule = serde_json::to_string(&self.rule).expect("a rule is valid JSON");
        command.env(RULE_VARIABLE, rule).stdin(Stdio::from(OwnedFd::from(listener)));
        command.stdout(Stdio::piped()).stderr(Stdio::null()).kill_on_drop(true);
        command.spawn().expect("the program starts")
    }

    /// Records crashes until the process has ended.
    async fn watch(&self, mut child: Child) {
        let stdout = child.stdout.take().expect("the output is piped");
        let mut lines = BufReader::new(stdout).lines();
        loop {
            tokio::select! {
                line = lines.next_line() => match line {
                    Ok(Some(line)) => self.record(&line),
                    _ => break,
                },
                () = self.killed.notified() => {
                    child.start_kill().expect("the process is a child of this one");
                }
            }
        }
        child.wait().await.expect("the process is a child of this one");
    }

    fn record(&self, line: &str) {
        let (at, mut reported) = (Instant::now(), self.reported.borrow_mut());
        if let Some((_, id)) = line.split_once(CRASH_PREFIX) {
            reported.crashes.push(Crash { request: id.to_owned(), at });
        } else if let Some((_, id)) = line.split_once(EXECUTION_PREFIX) {
            reported.executed.push(ExecutedRequest { id: id.to_owned(), at });
        }
    }

    async fn bind(&self) -> TcpListener {
        let bound = tokio::net::TcpListener::bind(self.address).await;
        bound.and_then(tokio::net::TcpListener::into_std).expect("the port is free")
    }
}

/// Serves as the upstream of an [`UpstreamProcess`], if this process was started as one; otherwise
/// returns at once.
pub async fn serve_as_process() {
    let Ok(rule) = std::env::var(RULE_VARIABLE) else { return };
    let rule: CrashRule = serde_json::from_str(&rule).expect("the rule is valid");
    let stdin = io::stdin().as_fd().try_clone_to_owned().expect("a descriptor is free");
    let listener = TcpListener::from(stdin);
    listener.set_nonblocking(true).expect("standard input is a listener");
    let listener = tokio::net::TcpListener::from_std(listener).expect("a runtime");
    let upstream = ScriptedUpstream::with_listener(listener, []);
    upstream.set_default(Behavior::Echo);
    upstream.set_crash_rule(Some(rule));
    std::future::pending::<()>().await;
}

/// Tells the supervisor that this process starts to execute a request, if it has one.
pub(super) fn report_execution(request: &str) {
    if std::env::var_os(RULE_VARIABLE).is_some() {
        report(EXECUTION_PREFIX, request);
    }
}

fn report(prefix: &str, request: &str) {
    let mut out = io::stdout();
    // The supervisor may have ended.
    let _written = writeln!(out, "{prefix}{request}").and_then(|()| out.flush());
}

/// Ends this process by a signal, after it has told its supervisor the request.
pub(super) fn end_process(signal: CrashSignal, request: &str) -> ! {
    report(CRASH_PREFIX, request);
    let signal = match signal {
        CrashSignal::Abort => Signal::ABORT,
        CrashSignal::Kill => Signal::KILL,
        CrashSignal::SegmentationFault => Signal::SEGV,
    };
    // The handler that the standard library installs for some signals returns once.
    loop {
        kill_process(getpid(), signal).expect("a process may send itself a signal");
    }
}
