//! What the settings of all stand-ins share.

use clap::{Args, Command};

/// Returns settings as the command line gives them when no flag is set.
pub(crate) fn defaults<S: Args>() -> S {
    let matches = S::augment_args(Command::new("defaults")).get_matches_from(["defaults"]);
    S::from_arg_matches(&matches).expect("every setting has a default")
}

/// Gives the settings of a stand-in their defaults and one builder method a setting.
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
