//! Splitting a byte stream into server-sent events.

use lycheelatch_gateway::FrameReader;
use proptest::prelude::*;

fn read_all(chunks: &[&[u8]]) -> (Vec<(Option<u64>, Vec<u8>)>, bool) {
    let mut reader = FrameReader::default();
    let mut frames = Vec::new();
    for chunk in chunks {
        reader.push(chunk);
        while let Some(frame) = reader.next_frame().unwrap() {
            frames.push((frame.id, frame.bytes.to_vec()));
        }
    }
    (frames, reader.has_partial())
}

#[test]
fn next_frame_incomplete_event_stays_buffered() {
    let (frames, has_partial) = read_all(&[b"id: 1\ndata: a\n\nid: 2\ndata"]);
    assert_eq!(frames, [(Some(1), b"id: 1\ndata: a\n\n".to_vec())]);
    assert!(has_partial);
}

#[test]
fn next_frame_accepts_crlf() {
    let (frames, has_partial) = read_all(&[b"id: 7\r\ndata: a\r\n\r\n"]);
    assert_eq!(frames[0].0, Some(7));
    assert!(!has_partial);
}

#[test]
fn next_frame_rejects_oversized_event() {
    let mut reader = FrameReader::default();
    reader.push(&vec![b'x'; 2 << 20]);
    assert!(reader.next_frame().is_err());
}

proptest! {
    #[test]
    fn next_frame_is_independent_of_chunking(
        count in 1_u64..12,
        cuts in prop::collection::vec(0_usize..400, 0..20),
    ) {
        let text: String = (1..=count).map(|id| format!("id: {id}\ndata: e{id}\n\n")).collect();
        let bytes = text.as_bytes();
        let mut cuts: Vec<_> = cuts.into_iter().map(|cut| cut % (bytes.len() + 1)).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let chunks: Vec<_> = cuts.windows(2).map(|cut| &bytes[cut[0]..cut[1]]).collect();
        let (frames, has_partial) = read_all(&chunks);
        let ids: Vec<_> = frames.iter().filter_map(|(id, _)| *id).collect();
        prop_assert_eq!(ids, (1..=count).collect::<Vec<_>>());
        let joined: Vec<u8> = frames.into_iter().flat_map(|(_, bytes)| bytes).collect();
        prop_assert_eq!(joined, bytes.to_vec());
        prop_assert!(!has_partial);
    }
}
