//! Property tests of the event parser with generated streams.

use lycheelatch_fakes::FuzzInputs;
use lycheelatch_upstream::SseReader;

const INPUTS: usize = 10_000;

const EVENTS: &[u8] = b"id: 7\r\ndata: {\"a\":1}\n\n: note\ndata: a\ndata: b\n\ndata: [DONE]\n\n";

#[test]
fn push_generated_in_chunks_equals_whole() {
    for (n, input) in FuzzInputs::new(vec![EVENTS.to_vec()]).take(INPUTS).enumerate() {
        let Ok(whole) = SseReader::new().push(&input) else { continue };
        let mut reader = SseReader::new();
        let chunked = input.chunks(n % 9 + 1).flat_map(|chunk| reader.push(chunk).unwrap());
        assert_eq!(chunked.collect::<Vec<_>>(), whole);
    }
}
