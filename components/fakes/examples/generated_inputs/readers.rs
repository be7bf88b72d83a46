//! The readers and valid samples for each.

use std::sync::Arc;

use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};
use lycheelatch_claims::{Claims, ClaimsConfig};
use lycheelatch_config::{Delta, Document, Edit, Selector, Snapshot, TokenHash, plan};
use lycheelatch_fakes::MemoryKv;
use lycheelatch_peers::{
    MemberDigest, MemberRecord, MemberState, Membership, Message, MessageBody, Topic, Update,
};
use lycheelatch_policy::LoadDigest;
use lycheelatch_prelude::{
    Attempt, IdempotencyKey, Incarnation, Labels, Name, RequestId, UpstreamId,
};
use lycheelatch_provider::{
    Entry, ListedInstance, ReclaimNotice,
    wire::{InstanceListWire, KvEntryWire, ReclaimNoticeWire},
};
use lycheelatch_proxy::{
    AdmitInFlight, Head, HttpConnect, LeastInFlight, Proxy, ProxyMetrics, ProxyParts, Registry,
    RetryFixed,
};
use lycheelatch_settings::Settings;
use lycheelatch_upstream::SseReader;
use tokio::time::Instant;

use crate::link::HandlerLink;

/// A reader and what it reads.
pub(crate) struct ReaderUnderTest {
    pub(crate) name: &'static str,
    pub(crate) samples: Vec<Vec<u8>>,
    /// Returns whether the input was accepted.
    pub(crate) read: Box<dyn FnMut(&[u8]) -> bool>,
}

const SETTINGS: &str = r#"{"zone":"z1","region":"r1","callers":{"listen":"127.0.0.1:8080",
"head_timeout":"5s","max_body":"16MiB","workers":2},"operators":{"listen":"127.0.0.1:8081",
"tokens":[{"name":"ann","role":"read","hash":"a.b"}]},"peers":{"cluster":"c",
"listen":"127.0.0.1:1","seeds":["127.0.0.1:2"],"ca_file":"a","certificate_file":"b",
"key_file":"c"},"platform":{"key_value":{"url":"http://127.0.0.1:8500","writes_per_second":3},
"instances":{"url":"http://127.0.0.1:8600","poll":"1s"}},"log":{"level":"info"}}"#;

const DOCUMENT: &str = r#"{"services":[{"name":"model-a","kind":"model","model":{"model":"a",
"version":"1"},"limits":{"silence_ms":1000}},{"name":"orders","kind":"plain"}],
"workspaces":[{"name":"w","tokens":[{"token":"token-of-the-tests"}],"services":["orders"],
"weight":7,"labels":{"tier":"gold"}}],"rules":[]}"#;

const HEAD: &str = "authorization: Bearer abc\nx-request-id: r-1\n\
lycheelatch-labels: tier=gold,zone=a\nlycheelatch-idempotent: false\nlycheelatch-timeout-ms: 250\n\
lycheelatch-attempt: 3\nlycheelatch-priority: low\nidempotency-key: order-1\nlast-event-id: 7";

const EVENTS: &str = "id: 7\r\ndata: {\"a\":1}\n\n: note\ndata: a\ndata: b\n\ndata: [DONE]\n\n";

const ENTRY: &str = r#"{"Key":"a/b","Value":"YWJj","ModifyIndex":2,"Session":"s"}"#;

const INSTANCES: &str = r#"{"instances":[{"instance":"i-1","upstream":"u-1","service":"orders",
"addr":"127.0.0.1:80","zone":"a","region":"r","class":"standard","purchase":"reclaimable",
"state":"live","labels":{"zone":"a"}}]}"#;

const NOTICE: &str = r#"{"sequence":1,"instance":"i-1","remaining_ms":30000,"withdrawn":true}"#;

/// Returns every reader.
pub(crate) fn readers() -> Vec<ReaderUnderTest> {
    let mut all = texts();
    all.extend(messages());
    all.extend(handlers());
    all.extend(answers());
    all
}

fn reader(
    name: &'static str,
    samples: &[&[u8]],
    read: impl FnMut(&[u8]) -> bool + 'static,
) -> ReaderUnderTest {
    let samples = samples.iter().map(|sample| sample.to_vec()).collect();
    ReaderUnderTest { name, samples, read: Box::new(read) }
}

fn text(bytes: &[u8]) -> std::borrow::Cow<'_, str> {
    String::from_utf8_lossy(bytes)
}

/// Answers of the platform, read and converted.
fn answers() -> Vec<ReaderUnderTest> {
    vec![
        reader("platform: entry of the key-value service", &[ENTRY.as_bytes()], |input| {
            let entry = serde_json::from_slice::<KvEntryWire>(input);
            entry.is_ok_and(|entry| Entry::try_from(entry).is_ok())
        }),
        reader("platform: instance list", &[INSTANCES.as_bytes()], |input| {
            let list = serde_json::from_slice::<InstanceListWire>(input);
            let convert = |list: InstanceListWire| {
                list.instances.into_iter().map(ListedInstance::from).count()
            };
            list.map(convert).is_ok()
        }),
        reader("platform: reclaim notice", &[NOTICE.as_bytes()], |input| {
            let notice = serde_json::from_slice::<ReclaimNoticeWire>(input);
            notice.is_ok_and(|notice| {
                let notice = ReclaimNotice::from(notice);
                Instant::now().checked_add(notice.remaining).is_some()
            })
        }),
    ]
}

fn texts() -> Vec<ReaderUnderTest> {
    vec![
        reader("settings", &[SETTINGS.as_bytes()], |input| {
            Settings::from_json(&text(input)).is_ok()
        }),
        reader("configuration document", &[DOCUMENT.as_bytes()], |input| {
            Document::from_json(input).is_ok_and(|document| document.check().is_empty())
        }),
        reader("selector", &[b"zone=a,tier!=gold", b"zone in (a,b),!spot"], |input| {
            text(input).parse::<Selector>().is_ok()
        }),
        reader("labels", &[b"tier=gold,zone=a"], |input| text(input).parse::<Labels>().is_ok()),
        reader("names, ids, keys and hashes", &[b"model-a", b"3", b"r-1"], |input| {
            let text = text(input);
            let is_hash = TokenHash::try_from(text.clone().into_owned()).is_ok();
            let is_key = text.parse::<IdempotencyKey>().is_ok() | text.parse::<RequestId>().is_ok();
            is_hash | is_key | text.parse::<Name>().is_ok() | text.parse::<Attempt>().is_ok()
        }),
        reader("head of a request", &[HEAD.as_bytes()], |input| {
            Head::read(&headers(input), Instant::now()).is_ok()
        }),
        reader("server-sent events", &[EVENTS.as_bytes()], read_events),
    ]
}

fn headers(input: &[u8]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for line in input.split(|byte| *byte == b'\n') {
        let mut parts = line.splitn(2, |byte| *byte == b':');
        let name = HeaderName::from_bytes(parts.next().unwrap_or_default());
        let value = HeaderValue::from_bytes(parts.next().unwrap_or_default().trim_ascii());
        if let (Ok(name), Ok(value)) = (name, value) {
            map.append(name, value);
        }
    }
    map
}

fn read_events(input: &[u8]) -> bool {
    let mut reader = SseReader::new();
    input.chunks(7).all(|chunk| reader.push(chunk).is_ok())
}

fn messages() -> Vec<ReaderUnderTest> {
    // A hash made elsewhere has no new salt, so that each run has the same samples.
    let hash = format!(r#""hash":"{}.{}""#, "A".repeat(22), "A".repeat(43));
    let document = DOCUMENT.replace(r#""token":"token-of-the-tests""#, &hash);
    let document = Document::from_json(document.as_bytes()).expect("a valid document");
    let before = Snapshot::default();
    let after = plan(&before, &[Edit::Apply(document)]).expect("a valid plan").snapshot;
    let delta = Delta::between(&before, &after).encode();
    let upstreams: Vec<UpstreamId> =
        (0..4).map(|n| format!("engine-{n}").parse().expect("a valid name")).collect();
    let digest = LoadDigest { round: 7, loads: vec![Default::default(); 4] }.encode(&upstreams);
    vec![
        reader("configuration delta", &[&delta], move |input| {
            Delta::decode(input).is_ok_and(|delta| before.apply_delta(&delta).is_ok())
        }),
        reader("configuration snapshot", &[&after.encode()], |input| {
            Snapshot::decode(input).is_ok()
        }),
        reader("load digest", &[&digest], move |input| {
            LoadDigest::decode(input, &upstreams).is_ok()
        }),
        membership(),
    ]
}

fn record(id: &str) -> MemberRecord {
    MemberRecord {
        id: id.parse().expect("a valid name"),
        addr: ([127, 0, 0, 1], 1).into(),
        zone: "z1".parse().expect("a valid name"),
        region: "r1".parse().expect("a valid name"),
        incarnation: Incarnation(3),
        leaving: false,
    }
}

/// The whole state machine: what was read is also acted upon.
fn membership() -> ReaderUnderTest {
    let other = record("node-2").id;
    let suspect = Update::Suspect {
        id: record("node-1").id,
        incarnation: Incarnation(u64::MAX),
        by: other.clone(),
    };
    let holding = MemberDigest {
        id_hash: 7,
        incarnation: Incarnation(u64::MAX),
        state: MemberState::Suspect,
    };
    let bodies = [
        MessageBody::Ping {
            seq: 1,
            receiver_state: Some((Incarnation(u64::MAX), MemberState::Dead)),
        },
        MessageBody::Sync { digest: vec![holding] },
        MessageBody::SyncResponse { requested: vec![1, 2] },
        MessageBody::PingRequest {
            seq: 1,
            target: other.clone(),
            addr: ([127, 0, 0, 1], 2).into(),
        },
    ];
    let samples: Vec<Vec<u8>> = bodies
        .into_iter()
        .map(|body| {
            let updates = vec![Update::Alive(record("node-3")), suspect.clone()];
            postcard::to_stdvec(&Message { view_digest: 7, updates, body }).expect("encodes")
        })
        .collect();
    let samples: Vec<&[u8]> = samples.iter().map(Vec::as_slice).collect();
    reader("membership message, decoded and handled", &samples, move |input| {
        let Ok(msg) = postcard::from_bytes::<Message>(input) else { return false };
        let now = Instant::now();
        let mut node = Membership::new(record("node-1"), Vec::new(), now, 1);
        node.handle(now, &other, msg);
        node.tick(now);
        true
    })
}

/// Readers of private messages, met through the handlers that a node registers.
fn handlers() -> Vec<ReaderUnderTest> {
    let link = HandlerLink::new();
    let proxy = Arc::new(proxy());
    proxy.join_peers(link.clone());
    let kv = Arc::new(MemoryKv::new());
    let claims = Claims::with_peers(kv, ClaimsConfig::default(), link.clone());
    let ask: &[u8] = b"\x03r-1\x01w";
    let answer: &[u8] = b"\x03r-1\x01w\x06orders\x01/\0\0\0\0\0\0\0\0";
    let claim: &[u8] = &[1; 34];
    let of = |name, topic, sample: &[u8]| {
        let (link, kept) = (link.clone(), (proxy.clone(), claims.clone()));
        reader(name, &[sample], move |input| {
            let _ = &kept;
            link.deliver(topic, input)
        })
    };
    vec![
        of("question for a kept answer", Topic::Resume, ask),
        of("kept answer that is handed over", Topic::Handover, answer),
        of("claim of another node", Topic::Claims, claim),
    ]
}

fn proxy() -> Proxy {
    let registry = Arc::new(Registry::new(Arc::new(HttpConnect)));
    let kv = Arc::new(MemoryKv::new());
    let config: Arc<Snapshot> = Arc::default();
    Proxy::new(ProxyParts {
        config: Arc::new(move || config.clone()),
        registry: registry.clone(),
        claims: Arc::new(Claims::new(kv, ClaimsConfig::default())),
        admit: Arc::new(AdmitInFlight::new(registry.clone())),
        place: Arc::new(LeastInFlight::new(registry)),
        retry: Arc::new(RetryFixed),
        metrics: ProxyMetrics::new(&prometheus::Registry::new()).expect("new metrics"),
        max_kept_answer_bytes: 1 << 20,
    })
}
