"""The attempt log, and the tools that follow one request through the logs of many nodes and tiers."""
