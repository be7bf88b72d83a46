//! A node that serves routed requests on a platform's instances.

use lycheelatch_gateway::{GatewayMetrics, RunningGateway};
use lycheelatch_settings::GatewaySettings;

use crate::{StartError, logging, signals::Signals};

/// Runs a gateway until a signal stops it.
pub(crate) async fn run_gateway(settings: GatewaySettings) -> Result<(), StartError> {
    let _log = logging::open_lines(&settings.log)?;
    let mut signals = Signals::new()?;
    let metrics = GatewayMetrics::new(&prometheus::Registry::new())?;
    let parts = lycheelatch_platform::parts(settings.store, settings.duties, &settings.node);
    let running = RunningGateway::start(settings, metrics, parts).await;
    let running = running.map_err(StartError::Gateway)?;
    signals.next().await;
    tokio::select! {
        () = running.stop() => {}
        () = signals.next() => log::warn!("gateway: ended at once by a second signal"),
    }
    Ok(())
}
