//! JSON types of the platform's HTTP services.

use std::{net::SocketAddr, time::Duration};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use lycheelatch_prelude::{
    InstanceClass, InstanceId, Labels, ModelName, ModelVersion, RegionName, Sequence, ServiceName,
    UpstreamId, ZoneName,
};
use serde::{Deserialize, Serialize};

use crate::{
    Entry, Instance, InstanceState, KvError, KvKey, LeaseId, ListedInstance, ListedState, Offer,
    Purchase, ReclaimNotice, StartInstance, Version, WeightInfo,
};

/// Entry of the key-value service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct KvEntryWire {
    /// Key.
    pub key: String,
    /// Base64-encoded value; `None` if it is empty.
    pub value: Option<String>,
    /// Index of the last write to the key.
    pub modify_index: u64,
    /// Session that holds the key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub session: Option<String>,
}

impl TryFrom<KvEntryWire> for Entry {
    type Error = KvError;

    fn try_from(wire: KvEntryWire) -> Result<Entry, KvError> {
        let value = STANDARD.decode(wire.value.unwrap_or_default()).map_err(|err| {
            KvError::InvalidResponse { reason: format!("value of {}: {err}", wire.key).into() }
        })?;
        Ok(Entry {
            key: KvKey::new(&wire.key),
            value: value.into(),
            version: Version(wire.modify_index),
            lease: wire.session.map(|id| LeaseId(id.into())),
        })
    }
}

impl From<Entry> for KvEntryWire {
    fn from(entry: Entry) -> KvEntryWire {
        KvEntryWire {
            key: entry.key.as_str().to_owned(),
            value: encode_value(&entry.value),
            modify_index: entry.version.0,
            session: entry.lease.map(|lease| lease.0.as_ref().to_owned()),
        }
    }
}

fn encode_value(value: &Bytes) -> Option<String> {
    (!value.is_empty()).then(|| STANDARD.encode(value))
}

/// Session, in a request or a response.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct SessionWire {
    /// Identifier of a created session; empty in a request.
    #[serde(rename = "ID", default, skip_serializing_if = "String::is_empty")]
    pub id: String,
    /// Time to live, such as `10s`.
    #[serde(rename = "TTL", default, skip_serializing_if = "String::is_empty")]
    pub ttl: String,
    /// Action on held keys when the session ends.
    #[serde(rename = "Behavior", default, skip_serializing_if = "String::is_empty")]
    pub behavior: String,
    /// Time for which a key can't be acquired after the session that held it was invalidated.
    #[serde(rename = "LockDelay", default, skip_serializing_if = "String::is_empty")]
    pub lock_delay: String,
}

impl SessionWire {
    /// Creates a request for a session with this time to live.
    pub fn with_ttl(ttl: Duration) -> SessionWire {
        SessionWire {
            id: String::new(),
            ttl: format!("{}ms", ttl.as_millis()),
            behavior: "release".to_owned(),
            lock_delay: "0s".to_owned(),
        }
    }
}

/// Response of the instance list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct InstanceListWire {
    /// Live and leaving instances.
    pub instances: Vec<ListedInstanceWire>,
}

/// Entry of the instance list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedInstanceWire {
    /// Cloud identifier of the instance.
    pub instance: InstanceId,
    /// Identifier of the upstream.
    pub upstream: UpstreamId,
    /// Service.
    pub service: ServiceName,
    /// IP address and port.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
    /// Machine class.
    pub class: InstanceClass,
    /// Purchase option.
    pub purchase: Purchase,
    /// State.
    pub state: ListedState,
    /// Labels.
    #[serde(default)]
    pub labels: Labels,
}

impl From<ListedInstanceWire> for ListedInstance {
    fn from(wire: ListedInstanceWire) -> ListedInstance {
        ListedInstance {
            instance: wire.instance,
            upstream: wire.upstream,
            service: wire.service,
            addr: wire.addr,
            zone: wire.zone,
            region: wire.region,
            class: wire.class,
            purchase: wire.purchase,
            state: wire.state,
            labels: wire.labels,
        }
    }
}

impl From<ListedInstance> for ListedInstanceWire {
    fn from(listed: ListedInstance) -> ListedInstanceWire {
        ListedInstanceWire {
            instance: listed.instance,
            upstream: listed.upstream,
            service: listed.service,
            addr: listed.addr,
            zone: listed.zone,
            region: listed.region,
            class: listed.class,
            purchase: listed.purchase,
            state: listed.state,
            labels: listed.labels,
        }
    }
}

/// Offer of the cloud.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OfferWire {
    /// Availability zone.
    pub zone: ZoneName,
    /// Machine class.
    pub class: InstanceClass,
    /// Purchase option.
    pub purchase: Purchase,
    /// Hourly price, in the currency of the account.
    pub price_per_hour: f64,
}

impl From<OfferWire> for Offer {
    fn from(wire: OfferWire) -> Offer {
        let OfferWire { zone, class, purchase, price_per_hour } = wire;
        Offer { zone, class, purchase, price_per_hour }
    }
}

impl From<Offer> for OfferWire {
    fn from(offer: Offer) -> OfferWire {
        let Offer { zone, class, purchase, price_per_hour } = offer;
        OfferWire { zone, class, purchase, price_per_hour }
    }
}

/// Request to start an instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StartInstanceWire {
    /// Idempotency token: a repeated request with it starts no second instance.
    pub token: String,
    /// Service.
    pub service: ServiceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Machine class.
    pub class: InstanceClass,
    /// Purchase option.
    pub purchase: Purchase,
    /// Labels of the upstream.
    #[serde(default)]
    pub labels: Labels,
}

impl From<&StartInstance> for StartInstanceWire {
    fn from(start: &StartInstance) -> StartInstanceWire {
        StartInstanceWire {
            token: start.token.as_ref().to_owned(),
            service: start.service.clone(),
            zone: start.zone.clone(),
            class: start.class.clone(),
            purchase: start.purchase,
            labels: start.labels.clone(),
        }
    }
}

impl From<StartInstanceWire> for StartInstance {
    fn from(wire: StartInstanceWire) -> StartInstance {
        StartInstance {
            token: wire.token.into(),
            service: wire.service,
            zone: wire.zone,
            class: wire.class,
            purchase: wire.purchase,
            labels: wire.labels,
        }
    }
}

/// Instance in the cloud.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct InstanceWire {
    /// Identifier of the instance.
    pub id: InstanceId,
    /// Service.
    pub service: ServiceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Machine class.
    pub class: InstanceClass,
    /// Purchase option.
    pub purchase: Purchase,
    /// State.
    pub state: InstanceState,
}

impl From<InstanceWire> for Instance {
    fn from(wire: InstanceWire) -> Instance {
        let InstanceWire { id, service, zone, class, purchase, state } = wire;
        Instance { id, service, zone, class, purchase, state }
    }
}

impl From<Instance> for InstanceWire {
    fn from(instance: Instance) -> InstanceWire {
        let Instance { id, service, zone, class, purchase, state } = instance;
        InstanceWire { id, service, zone, class, purchase, state }
    }
}

/// Reclaim notice.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReclaimNoticeWire {
    /// Position in the stream of notices.
    pub sequence: Sequence,
    /// Instance to be reclaimed.
    pub instance: InstanceId,
    /// Time until the instance is reclaimed, in milliseconds.
    pub remaining_ms: u64,
    /// Whether this withdraws an earlier notice.
    #[serde(default)]
    pub withdrawn: bool,
}

impl From<ReclaimNoticeWire> for ReclaimNotice {
    fn from(wire: ReclaimNoticeWire) -> ReclaimNotice {
        ReclaimNotice {
            sequence: wire.sequence,
            instance: wire.instance,
            remaining: Duration::from_millis(wire.remaining_ms),
            withdrawn: wire.withdrawn,
        }
    }
}

impl From<ReclaimNotice> for ReclaimNoticeWire {
    fn from(notice: ReclaimNotice) -> ReclaimNoticeWire {
        ReclaimNoticeWire {
            sequence: notice.sequence,
            instance: notice.instance,
            remaining_ms: u64::try_from(notice.remaining.as_millis()).unwrap_or(u64::MAX),
            withdrawn: notice.withdrawn,
        }
    }
}

/// Description of one model version in the weight store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WeightInfoWire {
    /// Model.
    pub model: ModelName,
    /// Version.
    pub version: ModelVersion,
    /// Size of the weights, in bytes.
    pub bytes: u64,
    /// Total bandwidth of the store, in bytes per second.
    pub store_bytes_per_second: u64,
}

impl From<WeightInfoWire> for WeightInfo {
    fn from(wire: WeightInfoWire) -> WeightInfo {
        let WeightInfoWire { model, version, bytes, store_bytes_per_second } = wire;
        WeightInfo { model, version, bytes, store_bytes_per_second }
    }
}

impl From<WeightInfo> for WeightInfoWire {
    fn from(info: WeightInfo) -> WeightInfoWire {
        let WeightInfo { model, version, bytes, store_bytes_per_second } = info;
        WeightInfoWire { model, version, bytes, store_bytes_per_second }
    }
}
