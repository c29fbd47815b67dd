//! Helpers for the settings of all stand-ins.

use clap::{Args, Command};

/// Returns the settings that result from a command line without flags.
pub(crate) fn defaults<S: Args>() -> S {
    let matches = S::augment_args(Command::new("defaults")).get_matches_from(["defaults"]);
    S::from_arg_matches(&matches).expect("every setting has a default")
}

/// Implements `Default` for the settings of a stand-in and a builder method for each setting.
macro_rules! builder {
    ($($with:ident($field:ident: $type:ty);)+) => {
        impl Default for Settings {
            fn default() -> Self {
                $crate::settings::defaults()
            }
        }

        impl Settings {
            $(
                #[doc = concat!("Sets `", stringify!($field), "`.")]
                #[must_use]
                pub fn $with(mut self, $field: $type) -> Self {
                    self.$field = $field;
                    self
                }
            )+
        }
    };
}

pub(crate) use builder;
