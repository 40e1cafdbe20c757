//! Estimates how fast each worker is.
//!
//! Workers of a service may differ in speed permanently, and no report says by how much. Tasks of one step are alike, so
//! their progress on different workers shows how the workers compare. [`SpeedModel`] fits the rate of each step and the
//! speed of each worker to these observations. It does no I/O and reads no clock.
//!
//! ```
//! use speed::SpeedModel;
//!
//! let mut model = SpeedModel::<u32, u32>::new();
//! for step in 0..4 {
//!     model.observe(step, 1, 0.02, 0.3);
//!     model.observe(step, 2, 0.01, 0.3);
//! }
//! model.fit();
//! assert!(model.estimate(1).factor() > model.estimate(2).factor());
//! ```

mod model;
mod observation;
mod speed;

pub use model::SpeedModel;
pub use speed::Speed;
