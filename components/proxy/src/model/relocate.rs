//! Obeys commands to go on elsewhere.

use std::time::Duration;

use lycheelatch_prelude::UpstreamId;
use tokio::time::timeout;

use super::{AnswerEvent, ModelCall, engine_of};
use crate::{Refusal, StreamCommand};

/// Longest time that the KV cache of one answer may take to another upstream.
const MOVE_TIMEOUT: Duration = Duration::from_secs(2);

impl ModelCall {
    pub(super) async fn obey(
        &mut self,
        command: StreamCommand,
    ) -> Result<Option<AnswerEvent>, Refusal> {
        match command {
            StreamCommand::HandOver => {
                self.events = None;
                self.placed = None;
                Ok(Some(AnswerEvent::HandedOver))
            }
            _ if !self.may_go_on_elsewhere() => Ok(None),
            StreamCommand::Resume { to } => {
                self.leave("reclaim");
                self.connect(to.as_ref()).await?;
                Ok(None)
            }
            StreamCommand::Move { to } => {
                self.move_cache(&to).await;
                self.leave("move");
                self.connect(Some(&to)).await?;
                Ok(None)
            }
        }
    }

    /// Copies the KV cache to the upstream `to`; where that fails, it recomputes.
    async fn move_cache(&self, to: &UpstreamId) {
        let service = &self.rec.service().name;
        let receiver = self.proxy.registry.get(service, to);
        let (Some(from), Some(to)) = (self.engine(), receiver.as_deref().and_then(engine_of))
        else {
            return;
        };
        let moved = async {
            let blob = from.export_kv(self.rec.id()).await?;
            to.import_kv(&blob).await
        };
        match timeout(MOVE_TIMEOUT, moved).await {
            Ok(Ok(())) => {}
            Ok(Err(err)) => {
                log::warn!("proxy: KV cache of request {} is not moved: {err}", self.rec.id());
            }
            Err(_) => {
                log::warn!("proxy: KV cache of request {} is not moved in time", self.rec.id());
            }
        }
    }
}
