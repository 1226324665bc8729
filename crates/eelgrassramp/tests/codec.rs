//! Tests of the message and frame decoders, including arbitrary input.

use bytes::Bytes;
use eelgrassramp::Kind;
use eelgrassramp::wire::Dispatch;
use eelgrassramp::wire::Frame;
use eelgrassramp::wire::FrameDecoder;
use eelgrassramp::wire::MAX_MESSAGE_BYTES;
use eelgrassramp::wire::Report;
use eelgrassramp::wire::ReportRequest;
use eelgrassramp::wire::from_bytes;
use eelgrassramp::wire::to_frame;
use googletest::prelude::*;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::proptest;

fn data(offset: u64) -> Frame {
    Frame::Data {
        offset,
        bytes: Bytes::from_static(b"a board for soft dunes"),
    }
}

fn decode_in_chunks(stream: &[u8], chunk_size: usize) -> Vec<Frame> {
    let mut decoder = FrameDecoder::new();
    let mut frames = Vec::new();
    for bytes in stream.chunks(chunk_size) {
        decoder.extend(bytes);
        while let Some(frame) = decoder.next_frame().expect("the stream is well formed") {
            frames.push(frame);
        }
    }
    frames
}

proptest! {
    #[test]
    fn frames_are_decoded_from_chunks_of_any_size(chunk_size in 1_usize..80, count in 1_u64..20) {
        let sent: Vec<Frame> = (0..count).map(data).collect();
        let stream: Vec<u8> = sent.iter().flat_map(|f| to_frame(f).expect("encodes")).collect();

        let received = decode_in_chunks(&stream, chunk_size);

        proptest::prop_assert_eq!(received, sent);
    }

    #[test]
    fn arbitrary_bytes_never_panic_and_errors_are_malformed(body in prop::collection::vec(any::<u8>(), 0..512)) {
        let errors = [
            from_bytes::<Dispatch>(&body).err(),
            from_bytes::<Report>(&body).err(),
            from_bytes::<ReportRequest>(&body).err(),
            from_bytes::<Frame>(&body).err(),
        ];

        for err in errors.into_iter().flatten() {
            proptest::prop_assert_eq!(err.kind(), Kind::Malformed);
        }
    }
}

#[gtest]
fn oversized_frame_is_rejected_before_it_is_buffered() {
    let mut decoder = FrameDecoder::new();
    let length = u32::try_from(MAX_MESSAGE_BYTES + 1).expect("fits");
    decoder.extend(&length.to_be_bytes());

    let err = decoder
        .next_frame::<Frame>()
        .expect_err("the length is over the limit");

    expect_that!(err.kind(), eq(Kind::Malformed));
}
