//! The page that every entry host serves to operators, in one file without anything from elsewhere.

/// The page's HTML, with its style and script.
pub(crate) const PAGE: &str = include_str!("page.html");
