"""Operating system services: clock, file descriptors, durable files, child processes and system call errors."""
