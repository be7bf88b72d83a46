//! Generated inputs for names, labels and keys.

use lycheelatch_fakes::FuzzInputs;
use lycheelatch_prelude::{Attempt, IdempotencyKey, Labels, Name, RequestId};

const INPUTS: usize = 10_000;

#[test]
fn parse_generated_round_trips_or_fails() {
    let samples = [b"tier=gold,zone=a".to_vec(), b"model-a".to_vec(), b"3".to_vec()];
    for input in FuzzInputs::new(samples.to_vec()).take(INPUTS) {
        let text = String::from_utf8_lossy(&input);
        if let Ok(name) = text.parse::<Name>() {
            assert_eq!(name.as_str(), text);
        }
        if let Ok(id) = text.parse::<RequestId>() {
            assert_eq!(id.as_str(), text);
        }
        if let Ok(key) = text.parse::<IdempotencyKey>() {
            assert_eq!(key.as_str(), text);
        }
        if let Ok(labels) = text.parse::<Labels>() {
            let pairs: Vec<_> =
                labels.iter().map(|(k, v)| format!("{}={}", k.as_str(), v.as_str())).collect();
            assert_eq!(pairs.join(",").parse::<Labels>().as_ref(), Ok(&labels));
        }
        let _ = text.parse::<Attempt>();
    }
}
