//! The scenarios, each of which varies one setting.

use std::time::Duration;

use clap::ValueEnum;

use crate::sim::Settings;

/// The setting that varies from point to point; the others are those of [`Settings::default`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// The offered load, as a share of the capacity.
    Load,
    /// The interval of load reports, in seconds.
    Lag,
    /// The number of routers.
    Routers,
    /// The share of the requests that the first of four routers gets.
    Skew,
    /// The interval at which routers share the requests that they sent, in seconds.
    Share,
    /// The factor by which one engine in ten becomes slower in the middle of the run.
    Slowdown,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 6] =
        [Self::Load, Self::Lag, Self::Routers, Self::Skew, Self::Share, Self::Slowdown];

    /// Returns the base name of the output files.
    pub fn name(self) -> &'static str {
        match self {
            Self::Load => "load",
            Self::Lag => "lag",
            Self::Routers => "routers",
            Self::Skew => "skew",
            Self::Share => "share",
            Self::Slowdown => "slowdown",
        }
    }

    /// Returns the label of the axis.
    pub fn axis(self) -> &'static str {
        match self {
            Self::Load => "offered load / capacity",
            Self::Lag => "interval of load reports, s",
            Self::Routers => "routers",
            Self::Skew => "share of the first of four routers",
            Self::Share => "interval of sharing, s",
            Self::Slowdown => "factor of slowdown of one engine in ten",
        }
    }

    /// Returns the points.
    pub fn points(self) -> &'static [f64] {
        match self {
            Self::Load => &[0.5, 0.7, 0.8, 0.9, 0.95, 1.0],
            Self::Lag => &[0.1, 0.25, 0.5, 1.0, 2.0, 4.0],
            Self::Routers => &[1.0, 2.0, 4.0, 8.0, 16.0, 64.0],
            Self::Skew => &[0.25, 0.4, 0.55, 0.7, 0.85],
            Self::Share => &[0.05, 0.1, 0.25, 0.5, 1.0, 2.0],
            Self::Slowdown => &[1.0, 1.5, 2.0, 4.0],
        }
    }

    /// Returns the settings of a point.
    pub(super) fn settings(self, point: usize) -> Settings {
        let settings = Settings::default();
        let value = self.points()[point];
        match self {
            Self::Load => settings.with_load(value),
            Self::Lag => settings.with_report_interval(Duration::from_secs_f64(value)),
            Self::Routers => settings.with_routers(value as usize),
            Self::Skew => settings.with_skew(value),
            Self::Share => settings.with_share_interval(Duration::from_secs_f64(value)),
            Self::Slowdown => settings.with_slowdown(value),
        }
    }
}
