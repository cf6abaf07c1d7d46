//! Statistics of recent events: histograms, decaying sums and sliding windows. The scheduler's constants set
//! their resolution and half-lives.
mod decay;
mod histogram;
mod measurements;
mod speed;
mod window;

pub use decay::{DecayingPeak, DecayingSum, DecayingSums};
pub(crate) use histogram::Histogram;
pub use measurements::Measurements;
pub(crate) use speed::RelativeSpeeds;
pub(crate) use window::SlidingWindow;
