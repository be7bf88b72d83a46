use std::net::IpAddr;

use futures_util::{FutureExt, stream};
use prometheus::IntGauge;
use proptest::prelude::*;

use crate::held_memory::ClientMemory;

use super::*;

const CLIENT: IpAddr = IpAddr::V4(std::net::Ipv4Addr::LOCALHOST);

fn memory(bytes: usize) -> (ClientMemory, IntGauge) {
    let gauge = IntGauge::new("held", "Bytes").unwrap();
    (ClientMemory::new(bytes, gauge.clone()), gauge)
}

fn read(
    parts: Vec<Result<Bytes, PayloadError>>,
    length: Option<usize>,
    max_bytes: usize,
    held: &mut HeldMemory,
) -> Result<Bytes, BodyError> {
    let mut parts = stream::iter(parts);
    read_parts(&mut parts, length, max_bytes, held).now_or_never().unwrap()
}

#[test]
fn read_without_room_returns_what_was_taken() {
    let (memory, gauge) = memory(100_000);
    let mut other = memory.hold(CLIENT);
    other.try_resize(60_000).unwrap();
    let mut held = memory.hold(CLIENT);
    let parts = (0..10).map(|_| Ok(Bytes::from(vec![1; 8000]))).collect();
    let read = read(parts, None, 1 << 20, &mut held);
    assert!(matches!(read, Err(BodyError::NoRoom(_))), "{read:?}");
    drop(held);
    assert_eq!(gauge.get(), 60_000);
}

proptest! {
    #[test]
    fn read_any_parts_keeps_to_the_bounds(
        sizes in prop::collection::vec(0_usize..3000, 0..60),
        max_bytes in 1_usize..100_000,
        is_announced in any::<bool>(),
        torn_at in prop::option::of(0_usize..60),
    ) {
        let (memory, gauge) = memory(64 << 10);
        let mut held = memory.hold(CLIENT);
        let whole: usize = sizes.iter().sum();
        let mut parts: Vec<_> = sizes.iter().map(|n| Ok(Bytes::from(vec![7; *n]))).collect();
        let is_torn = torn_at.is_some_and(|at| at < parts.len());
        if let Some(at) = torn_at.filter(|_| is_torn) {
            parts.truncate(at);
            parts.push(Err(PayloadError::Incomplete(None)));
        }
        let length = is_announced.then_some(whole);
        match read(parts, length, max_bytes, &mut held) {
            Ok(body) => {
                prop_assert!(!is_torn, "a torn body is never taken for a whole one");
                prop_assert_eq!(body.len(), whole);
                prop_assert!(whole <= max_bytes && held.bytes() >= whole);
            }
            Err(BodyError::TooLarge(_)) => prop_assert!(whole > max_bytes),
            Err(BodyError::Incomplete(_)) => prop_assert!(is_torn),
            Err(BodyError::NoRoom(_)) => prop_assert!(whole > 32 << 10),
        }
        prop_assert!(gauge.get() <= 64 << 10);
        drop(held);
        prop_assert_eq!(gauge.get(), 0);
    }
}
