//! Measures the cost per request of opening a new upstream connection.

#![allow(clippy::print_stdout, reason = "prints its results")]

use std::time::Duration;

use futures_util::{StreamExt, stream};
use lycheelatch_fakes::serve_plain;
use lycheelatch_http::client;
use tokio::time::Instant;

const CALLS: usize = 4000;
const CONCURRENCY: [usize; 2] = [1, 32];

async fn call(url: &str, force_close: bool) {
    let mut req = client().get(url).timeout(Duration::from_secs(5));
    if force_close {
        req = req.force_close();
    }
    let mut response = req.send().await.expect("the test server responds");
    response.body().await.expect("the response body is complete");
}

async fn measure(url: &str, force_close: bool, concurrency: usize) -> Duration {
    let started = Instant::now();
    stream::iter(0..CALLS).for_each_concurrent(concurrency, |_| call(url, force_close)).await;
    started.elapsed() / CALLS as u32
}

fn main() -> std::io::Result<()> {
    actix::System::new().block_on(async {
        let service = serve_plain()?;
        let url = format!("http://{}/stock", service.server.addr());
        for concurrency in CONCURRENCY {
            // Measures both twice, alternately, so that drift of the machine is visible.
            for _ in 0..2 {
                let pooled = measure(&url, false, concurrency).await;
                let unpooled = measure(&url, true, concurrency).await;
                println!(
                    "{concurrency:>3} at once: pooled {:>4} us a call, own connection {:>4} us, ratio {:.2}",
                    pooled.as_micros(),
                    unpooled.as_micros(),
                    unpooled.as_secs_f64() / pooled.as_secs_f64()
                );
            }
        }
        Ok(())
    })
}
