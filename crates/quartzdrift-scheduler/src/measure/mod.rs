//! Measurements that forget: histograms, decaying sums and windows. How coarse and how fast is for the
//! scheduler to say.
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
