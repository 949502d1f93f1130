//! Measures the cost of the control plane on real entry processes and extrapolates it to the target
//! size.

mod declarations;
mod fit;
mod page;
mod process;
mod report;
mod run;
mod series;

pub use crate::{
    fit::non_negative_least_squares,
    page::{replace_section, write_page},
    report::{HostSample, Report, Run, Shape},
    series::measure,
};
