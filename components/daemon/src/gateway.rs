//! Runs a node as a gateway to a platform's instances.

use std::{path::PathBuf, time::Duration};

use lycheelatch_gateway::{Gateway, GatewayMetrics, RunningGateway};
use lycheelatch_settings::{GatewaySettings, NodeSettings};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::timeout,
};

use crate::{StartError, logging, signals::Signals};

/// Interval at which the settings are read again without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(3);

/// Runs a gateway until a signal stops it.
pub(crate) async fn run_gateway(
    settings: GatewaySettings,
    path: PathBuf,
) -> Result<(), StartError> {
    let metrics = GatewayMetrics::new(&prometheus::Registry::new())?;
    let _log = logging::open_lines(&settings.log, metrics.unwritten_lines.clone())?;
    let mut signals = Signals::new()?;
    let hangup = signal(SignalKind::hangup()).map_err(StartError::Signals)?;
    let parts = lycheelatch_platform::parts(settings.store, settings.platform_api, &settings.node);
    let current = settings.clone();
    let running = RunningGateway::start(settings, metrics, parts).await;
    let running = running.map_err(StartError::Gateway)?;
    tokio::select! {
        () = signals.next() => {}
        () = watch_settings(running.gateway(), current, path, hangup) => {}
    }
    tokio::select! {
        () = running.stop() => {}
        () = signals.next() => log::warn!("gateway: second signal received, exiting at once"),
    }
    Ok(())
}

/// Reloads the settings on SIGHUP, and every [`RELOAD_INTERVAL`] if they have changed.
async fn watch_settings(
    gateway: &Gateway,
    mut current: GatewaySettings,
    path: PathBuf,
    mut hangup: Signal,
) {
    loop {
        let is_signalled = timeout(RELOAD_INTERVAL, hangup.recv()).await.is_ok();
        match read(&path) {
            Ok(settings) if settings == current && !is_signalled => {}
            Ok(settings) => {
                log::info!("settings: reloaded");
                gateway.reload(&settings);
                current = settings;
            }
            Err(err) => log::warn!("settings: reload failed, keeping the current settings: {err}"),
        }
    }
}

fn read(path: &PathBuf) -> Result<GatewaySettings, StartError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| StartError::ReadSettings { path: path.clone(), source })?;
    match NodeSettings::from_json(&text).map_err(StartError::Settings)? {
        NodeSettings::Gateway(settings) => Ok(settings),
        NodeSettings::Proxy(_) => Err(StartError::NotGateway),
    }
}
