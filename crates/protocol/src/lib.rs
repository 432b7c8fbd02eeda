//! Messages and codecs between processes, and HTTP rules.
