//! Parts that the programs share: command line, settings file, logs, signals.
