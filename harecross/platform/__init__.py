"""The operating system's side: clock, descriptors, durable files, child processes, system-call errors."""
