//! Measures what a connection of its own costs each request to an upstream.

#![allow(clippy::print_stdout, reason = "its figures are its output")]

use std::time::Duration;

use futures_util::{StreamExt, stream};
use lycheelatch_fakes::serve_plain;
use lycheelatch_http::client;
use tokio::time::Instant;

const CALLS: usize = 4000;
const AT_ONCE: [usize; 2] = [1, 32];

async fn call(url: &str, has_own_connection: bool) {
    let mut req = client().get(url).timeout(Duration::from_secs(5));
    if has_own_connection {
        req = req.force_close();
    }
    let mut answer = req.send().await.expect("the stand-in answers");
    answer.body().await.expect("the answer is whole");
}

async fn measure(url: &str, has_own_connection: bool, at_once: usize) -> Duration {
    let started = Instant::now();
    stream::iter(0..CALLS).for_each_concurrent(at_once, |_| call(url, has_own_connection)).await;
    started.elapsed() / CALLS as u32
}

fn main() -> std::io::Result<()> {
    actix::System::new().block_on(async {
        let service = serve_plain()?;
        let url = format!("http://{}/stock", service.server.addr());
        for at_once in AT_ONCE {
            // Twice each, in turn, so that a drift of the machine shows.
            for _ in 0..2 {
                let pooled = measure(&url, false, at_once).await;
                let own = measure(&url, true, at_once).await;
                println!(
                    "{at_once:>3} at once: pooled {:>4} us a call, own connection {:>4} us, ratio {:.2}",
                    pooled.as_micros(),
                    own.as_micros(),
                    own.as_secs_f64() / pooled.as_secs_f64()
                );
            }
        }
        Ok(())
    })
}
