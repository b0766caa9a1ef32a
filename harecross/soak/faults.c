/* System calls that fail, end short, or tell another wall clock: loaded into one process by LD_PRELOAD.

   FAULT_RULES holds rules separated by ';', each 'call errno probability from to': a call of that name fails with
   that errno with that probability, from so many to so many seconds after the process loaded this library. Two
   numbers mean no failure: -1 on read or write cuts the count to at most 7 bytes, and -2 on close_listener holds the
   process up for 50 ms just before it closes a listening socket, as a scheduler may. FAULT_CLOCK holds steps of the wall
   clock, 'at seconds' separated by ';'. FAULT_SEED seeds the draws. Monotonic clocks are never touched.

   read and write rules hold for stream sockets that the process itself has connected or accepted, fsync and write_file
   rules for regular files. Only calls through the dynamic linker are seen. Linux, public interfaces only. */

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

#define RULES_MOST 32
#define SHORT_BYTES 7
#define CUT -1
#define HELD_UP -2
#define HELD_UP_MICROSECONDS 50000

struct rule {
    char call[16];
    int error;
    double probability, from, to;
};

struct step {
    double at, seconds;
};

static struct rule rules[RULES_MOST];
static struct step steps[RULES_MOST];
static int rule_count, step_count;
static uint64_t draws = 1;
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
    const char *seed = getenv("FAULT_SEED"), *told = getenv("FAULT_RULES"), *clock = getenv("FAULT_CLOCK");
    draws = seed ? strtoull(seed, NULL, 10) * 2654435761u + 1 : 1;
    while (told && *told && rule_count < RULES_MOST) {
        struct rule *r = &rules[rule_count];
        if (sscanf(told, "%15s %d %lf %lf %lf", r->call, &r->error, &r->probability, &r->from, &r->to) == 5)
            rule_count++;
        told = strchr(told, ';');
        told = told ? told + 1 : NULL;
    }
    while (clock && *clock && step_count < RULES_MOST) {
        if (sscanf(clock, "%lf %lf", &steps[step_count].at, &steps[step_count].seconds) == 2)
            step_count++;
        clock = strchr(clock, ';');
        clock = clock ? clock + 1 : NULL;
    }
}

static double draw(void) {
    pthread_mutex_lock(&draw_lock);
    draws ^= draws << 13;
    draws ^= draws >> 7;
    draws ^= draws << 17;
    uint64_t drawn = draws;
    pthread_mutex_unlock(&draw_lock);
    return (drawn >> 11) / 9007199254740992.0;
}

/* The errno with which the call is to fail, CUT, or 0. */
static int fault(const char *call) {
    if (!rule_count) return 0;
    double now = monotonic() - loaded_at;
    for (int i = 0; i < rule_count; i++) {
        struct rule *r = &rules[i];
        if (now >= r->from && now < r->to && !strcmp(r->call, call) && draw() < r->probability) return r->error;
    }
    return 0;
}

static int fails(const char *call) {
    int error = fault(call);
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
    struct stat told;
    int saved = errno;
    int found = !fstat(fd, &told) && S_ISREG(told.st_mode);
    errno = saved;
    return found;
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    REAL(accept4);
    return fails("accept") ? -1 : real(fd, address, size, flags);
}

int accept(int fd, struct sockaddr *address, socklen_t *size) {
    REAL(accept);
    return fails("accept") ? -1 : real(fd, address, size);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    return domain == AF_INET && fails("socket") ? -1 : real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    REAL(connect);
    return address->sa_family == AF_INET && fails("connect") ? -1 : real(fd, address, size);
}

int close(int fd) {
    REAL(close);
    if (rule_count && is_listener(fd) && fault("close_listener") == HELD_UP) usleep(HELD_UP_MICROSECONDS);
    return real(fd);
}

int setsockopt(int fd, int level, int name, const void *value, socklen_t size) {
    REAL(setsockopt);
    return fails("setsockopt") ? -1 : real(fd, level, name, value, size);
}

static int moves(int fd, const char *call, size_t *count) {
    int error = rule_count && is_stream(fd) ? fault(call) : 0;
    if (error == CUT && *count > SHORT_BYTES) *count = SHORT_BYTES;
    if (error <= 0) return 1;
    errno = error;
    return 0;
}

ssize_t read(int fd, void *data, size_t count) {
    REAL(read);
    return moves(fd, "read", &count) ? real(fd, data, count) : -1;
}

ssize_t recv(int fd, void *data, size_t count, int flags) {
    REAL(recv);
    return moves(fd, "read", &count) ? real(fd, data, count, flags) : -1;
}

ssize_t write(int fd, const void *data, size_t count) {
    REAL(write);
    if (rule_count && is_file(fd)) {
        int error = fault("write_file");
        if (error == CUT && count > 1) count /= 2;
        if (error > 0) {
            errno = error;
            return -1;
        }
    }
    return moves(fd, "write", &count) ? real(fd, data, count) : -1;
}

ssize_t send(int fd, const void *data, size_t count, int flags) {
    REAL(send);
    return moves(fd, "write", &count) ? real(fd, data, count, flags) : -1;
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    size_t first = count ? parts[0].iov_len : 0, had = first;
    if (!moves(fd, "write", &first)) return -1;
    if (first == had) return real(fd, parts, count);
    struct iovec cut = {parts[0].iov_base, first};
    return real(fd, &cut, 1);
}

int fsync(int fd) {
    REAL(fsync);
    return fails("fsync") ? -1 : real(fd);
}

int fdatasync(int fd) {
    REAL(fdatasync);
    return fails("fsync") ? -1 : real(fd);
}

static double stepped(void) {
    double now = monotonic() - loaded_at, sum = 0;
    for (int i = 0; i < step_count; i++)
        if (now >= steps[i].at) sum += steps[i].seconds;
    return sum;
}

int clock_gettime(clockid_t id, struct timespec *told) {
    if (!real_clock_gettime)
        real_clock_gettime = (typeof(real_clock_gettime))dlsym(RTLD_NEXT, "clock_gettime");
    int found = real_clock_gettime(id, told);
    if (!found && step_count && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE))
        told->tv_sec += (time_t)stepped();
    return found;
}

int gettimeofday(struct timeval *restrict told, void *restrict zone) {
    REAL(gettimeofday);
    int found = real(told, zone);
    if (!found && step_count) told->tv_sec += (time_t)stepped();
    return found;
}

time_t time(time_t *told) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (told) *told = now.tv_sec;
    return now.tv_sec;
}
