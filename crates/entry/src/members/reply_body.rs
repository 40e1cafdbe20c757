use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::HeaderMap;
use http_body::{Body, Frame, SizeHint};
use intake::PeerRequest;

/// Reply of a call, whose bytes stay charged until the caller reads them.
#[derive(Debug, Default)]
pub(super) struct ReplyBody {
    data: Bytes,
    trailers: Option<HeaderMap>,
    /// The call, which ends with the reply; none for a refusal.
    call: Option<PeerRequest>,
}

impl ReplyBody {
    /// Size of the parts in which a reply is handed to the HTTP/2 library, which buffers one part per call.
    const PART_BYTES: usize = 16 * 1_024;

    /// Creates a reply and charges its bytes.
    pub(super) fn new(data: Bytes, trailers: Option<HeaderMap>, mut call: PeerRequest) -> Self {
        call.begin_reply(data.len() as u64);
        Self {
            data,
            trailers,
            call: Some(call),
        }
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let this = self.get_mut();
        let part = this.data.split_to(this.data.len().min(Self::PART_BYTES));
        if !part.is_empty() {
            if let Some(call) = &mut this.call {
                call.read_reply(part.len() as u64);
            }
            return Poll::Ready(Some(Ok(Frame::data(part))));
        }
        Poll::Ready(this.trailers.take().map(|trailers| Ok(Frame::trailers(trailers))))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_empty() && self.trailers.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.data.len() as u64)
    }
}
