//! Moves a running response to another upstream or node on command.

use std::time::Duration;

use lycheelatch_prelude::UpstreamId;
use tokio::time::timeout;

use super::{ModelCall, ResponseEvent, engine_of};
use crate::{Refusal, StreamCommand};

/// Time limit for transferring the KV cache of one response to another upstream.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

impl ModelCall {
    pub(super) async fn apply_command(
        &mut self,
        command: StreamCommand,
    ) -> Result<Option<ResponseEvent>, Refusal> {
        match command {
            StreamCommand::HandOver => {
                self.events = None;
                self.placed = None;
                Ok(Some(ResponseEvent::HandedOver))
            }
            _ if !self.is_resumable() => Ok(None),
            StreamCommand::Resume { to } => {
                self.abandon_upstream("reclaim");
                self.connect(to.as_ref()).await?;
                Ok(None)
            }
            StreamCommand::Move { to } => {
                self.transfer_kv_cache(&to).await;
                self.abandon_upstream("move");
                self.connect(Some(&to)).await?;
                Ok(None)
            }
        }
    }

    /// Copies the KV cache to the upstream `to`, which recomputes it if that fails.
    async fn transfer_kv_cache(&self, to: &UpstreamId) {
        let service = &self.rec.service().name;
        let target = self.proxy.registry.get(service, to);
        let (Some(from), Some(to)) = (self.engine(), target.as_deref().and_then(engine_of)) else {
            return;
        };
        let transfer = async {
            let blob = from.export_kv(self.rec.id()).await?;
            to.import_kv(&blob).await
        };
        match timeout(TRANSFER_TIMEOUT, transfer).await {
            Ok(Ok(())) => {}
            Ok(Err(err)) => {
                log::warn!(
                    "proxy: failed to transfer the KV cache of request {}: {err}",
                    self.rec.id()
                );
            }
            Err(_) => {
                log::warn!(
                    "proxy: KV cache of request {} not transferred within {} ms",
                    self.rec.id(),
                    TRANSFER_TIMEOUT.as_millis()
                );
            }
        }
    }
}
