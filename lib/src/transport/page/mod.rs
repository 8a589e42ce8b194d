//! The page that every entry host serves to operators: one document without external resources.

/// The page's HTML, with its style and script.
pub(crate) const PAGE: &str = concat!(
    include_str!("head.html"),
    "<style>\n",
    include_str!("page.css"),
    "</style>\n",
    include_str!("body.html"),
    "<script>\n",
    include_str!("fleet.js"),
    include_str!("time_line.js"),
    include_str!("main.js"),
    "</script>\n</html>\n",
);
