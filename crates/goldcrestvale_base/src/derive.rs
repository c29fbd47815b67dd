//! The macro that adds the common derives to domain types.

/// Declares domain types with the common derives.
///
/// `value` types can be compared, hashed, cloned and serialized; `copy` types can also be copied
/// and ordered; `record` types cannot be hashed, for types with maps or floating-point numbers.
/// Further attributes, such as `#[serde(...)]`, are written on the container.
///
/// # Examples
///
/// ```
/// goldcrestvale_base::domain! {
///     value
///     /// A half-open range of layers.
///     pub struct Layers {
///         /// First layer.
///         pub from: u32,
///         /// One past the last layer.
///         pub to: u32,
///     }
/// }
/// assert_eq!(Layers { from: 0, to: 4 }, Layers { from: 0, to: 4 });
/// ```
#[macro_export]
macro_rules! domain {
    (value $($item:item)+) => {
        $(
            #[derive(Debug, Clone, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
            $item
        )+
    };
    (copy $($item:item)+) => {
        $(
            #[derive(
                Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash,
                serde::Serialize, serde::Deserialize,
            )]
            $item
        )+
    };
    (record $($item:item)+) => {
        $(
            #[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
            $item
        )+
    };
}
