/* A shim that makes system calls fail, transfers fewer bytes than asked for, and steps the wall clock. It is loaded into
   one process by LD_PRELOAD and configured by environment variables:

   FAULT_RULES: rules separated by ';', each of the form 'call errno probability from to'. A call of that name fails with
   that errno and probability between 'from' and 'to', in seconds after the process loaded this library. Two values in the
   place of an errno do not make the call fail: -1 on read or write limits the count to 7 bytes (on write_file, it halves
   the count), and -2 on close_listener delays the process by 50 ms just before it closes a listening socket, as a
   scheduler may do.
   FAULT_CLOCK: steps of the wall clock separated by ';', each of the form 'at seconds'. Monotonic clocks are unchanged.
   FAULT_SEED: the seed of the random draws.

   read and write rules apply to IPv4 stream sockets, which the process itself has connected or accepted, but not to its
   socket pairs; fsync and write_file rules apply to regular files. Only calls that go through the dynamic linker are
   intercepted. The shim works on Linux and uses public interfaces only. */

#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <pthread.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define MAX_RULES 32
#define SHORT_BYTES 7
#define CUT_SHORT -1
#define DELAYED -2
#define DELAY_MICROSECONDS 50000

struct rule {
    char call[16];
    int error;
    double probability, from, to;
};

struct step {
    double at, seconds;
};

static struct rule rules[MAX_RULES];
static struct step steps[MAX_RULES];
static int rule_count, step_count;
static uint64_t random_state = 1;
static double loaded_at;
static pthread_mutex_t draw_lock = PTHREAD_MUTEX_INITIALIZER;

static int (*real_clock_gettime)(clockid_t, struct timespec *);

#define REAL(name) \
    static typeof(&name) real; \
    if (!real) real = (typeof(&name))dlsym(RTLD_NEXT, #name)

static double monotonic(void) {
    struct timespec t;
    real_clock_gettime(CLOCK_MONOTONIC, &t);
    return t.tv_sec + t.tv_nsec / 1e9;
}

__attribute__((constructor)) static void load(void) {
    real_clock_gettime = (typeof(real_clock_gettime))dlsym(RTLD_NEXT, "clock_gettime");
    loaded_at = monotonic();
    const char *seed = getenv("FAULT_SEED"), *rule_text = getenv("FAULT_RULES"), *clock_text = getenv("FAULT_CLOCK");
    random_state = seed ? strtoull(seed, NULL, 10) * 2654435761u + 1 : 1;
    while (rule_text && *rule_text && rule_count < MAX_RULES) {
        struct rule *r = &rules[rule_count];
        if (sscanf(rule_text, "%15s %d %lf %lf %lf", r->call, &r->error, &r->probability, &r->from, &r->to) == 5)
            rule_count++;
        rule_text = strchr(rule_text, ';');
        rule_text = rule_text ? rule_text + 1 : NULL;
    }
    while (clock_text && *clock_text && step_count < MAX_RULES) {
        if (sscanf(clock_text, "%lf %lf", &steps[step_count].at, &steps[step_count].seconds) == 2)
            step_count++;
        clock_text = strchr(clock_text, ';');
        clock_text = clock_text ? clock_text + 1 : NULL;
    }
}

static double draw(void) {
    pthread_mutex_lock(&draw_lock);
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    uint64_t value = random_state;
    pthread_mutex_unlock(&draw_lock);
    return (value >> 11) / 9007199254740992.0;
}

/* Draws the fault of a call: the errno to fail with, CUT_SHORT, DELAYED, or 0 for no fault. */
static int draw_fault(const char *call) {
    if (!rule_count) return 0;
    double now = monotonic() - loaded_at;
    for (int i = 0; i < rule_count; i++) {
        struct rule *r = &rules[i];
        if (now >= r->from && now < r->to && !strcmp(r->call, call) && draw() < r->probability) return r->error;
    }
    return 0;
}

static int should_fail(const char *call) {
    int error = draw_fault(call);
    if (error <= 0) return 0;
    errno = error;
    return 1;
}

static int is_stream(int fd) {
    int type, domain;
    socklen_t size = sizeof type;
    int saved = errno;
    int found = !getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size) && type == SOCK_STREAM;
    size = sizeof domain;
    found = found && !getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &size) && domain == AF_INET;
    errno = saved;
    return found;
}

static int is_listener(int fd) {
    int listens = 0;
    socklen_t size = sizeof listens;
    int saved = errno;
    int found = !getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) && listens;
    errno = saved;
    return found;
}

static int is_file(int fd) {
    struct stat status;
    int saved = errno;
    int found = !fstat(fd, &status) && S_ISREG(status.st_mode);
    errno = saved;
    return found;
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    REAL(accept4);
    return should_fail("accept") ? -1 : real(fd, address, size, flags);
}

int accept(int fd, struct sockaddr *address, socklen_t *size) {
    REAL(accept);
    return should_fail("accept") ? -1 : real(fd, address, size);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    return domain == AF_INET && should_fail("socket") ? -1 : real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    REAL(connect);
    return address->sa_family == AF_INET && should_fail("connect") ? -1 : real(fd, address, size);
}

int close(int fd) {
    REAL(close);
    if (rule_count && is_listener(fd) && draw_fault("close_listener") == DELAYED) usleep(DELAY_MICROSECONDS);
    return real(fd);
}

int setsockopt(int fd, int level, int name, const void *value, socklen_t size) {
    REAL(setsockopt);
    return should_fail("setsockopt") ? -1 : real(fd, level, name, value, size);
}

static int may_transfer(int fd, const char *call, size_t *count) {
    int error = rule_count && is_stream(fd) ? draw_fault(call) : 0;
    if (error == CUT_SHORT && *count > SHORT_BYTES) *count = SHORT_BYTES;
    if (error <= 0) return 1;
    errno = error;
    return 0;
}

ssize_t read(int fd, void *data, size_t count) {
    REAL(read);
    return may_transfer(fd, "read", &count) ? real(fd, data, count) : -1;
}

ssize_t recv(int fd, void *data, size_t count, int flags) {
    REAL(recv);
    return may_transfer(fd, "read", &count) ? real(fd, data, count, flags) : -1;
}

ssize_t write(int fd, const void *data, size_t count) {
    REAL(write);
    if (rule_count && is_file(fd)) {
        int error = draw_fault("write_file");
        if (error == CUT_SHORT && count > 1) count /= 2;
        if (error > 0) {
            errno = error;
            return -1;
        }
    }
    return may_transfer(fd, "write", &count) ? real(fd, data, count) : -1;
}

ssize_t send(int fd, const void *data, size_t count, int flags) {
    REAL(send);
    return may_transfer(fd, "write", &count) ? real(fd, data, count, flags) : -1;
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    size_t allowed = count ? parts[0].iov_len : 0, requested = allowed;
    if (!may_transfer(fd, "write", &allowed)) return -1;
    if (allowed == requested) return real(fd, parts, count);
    struct iovec shortened = {parts[0].iov_base, allowed};
    return real(fd, &shortened, 1);
}

int fsync(int fd) {
    REAL(fsync);
    return should_fail("fsync") ? -1 : real(fd);
}

int fdatasync(int fd) {
    REAL(fdatasync);
    return should_fail("fsync") ? -1 : real(fd);
}

static double clock_offset(void) {
    double now = monotonic() - loaded_at, sum = 0;
    for (int i = 0; i < step_count; i++)
        if (now >= steps[i].at) sum += steps[i].seconds;
    return sum;
}

int clock_gettime(clockid_t id, struct timespec *result) {
    if (!real_clock_gettime)
        real_clock_gettime = (typeof(real_clock_gettime))dlsym(RTLD_NEXT, "clock_gettime");
    int found = real_clock_gettime(id, result);
    if (!found && step_count && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE))
        result->tv_sec += (time_t)clock_offset();
    return found;
}

int gettimeofday(struct timeval *restrict result, void *restrict zone) {
    REAL(gettimeofday);
    int found = real(result, zone);
    if (!found && step_count) result->tv_sec += (time_t)clock_offset();
    return found;
}

time_t time(time_t *result) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (result) *result = now.tv_sec;
    return now.tv_sec;
}
