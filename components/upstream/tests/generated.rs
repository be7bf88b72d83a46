//! Generated streams of events.

use lycheelatch_fakes::FuzzInputs;
use lycheelatch_upstream::SseReader;

const INPUTS: usize = 10_000;

const EVENTS: &[u8] = b"id: 7\r\ndata: {\"a\":1}\n\n: note\ndata: a\ndata: b\n\ndata: [DONE]\n\n";

#[test]
fn push_generated_is_the_same_in_pieces() {
    for (n, input) in FuzzInputs::new(vec![EVENTS.to_vec()]).take(INPUTS).enumerate() {
        let Ok(whole) = SseReader::new().push(&input) else { continue };
        let mut reader = SseReader::new();
        let pieces = input.chunks(n % 9 + 1).flat_map(|chunk| reader.push(chunk).unwrap());
        assert_eq!(pieces.collect::<Vec<_>>(), whole);
    }
}
