/* System-call faults for one process, loaded with LD_PRELOAD. Test code only: the product never links it.
 *
 * SOAK_SHIM holds `name=value` pairs separated by `;`. Chances are per call, from 0 to 1, and count only between
 * `from` and `until` seconds after the process began. `wall_offset` is added to the real-time clock, from `step_at`
 * to `wall_until` seconds. Network faults hit IPv4 sockets, `unix_eintr` hits Unix sockets, file faults hit regular files. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/types.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

static double recv_eintr, send_eintr, recv_short, send_short, accept_fail, socket_fail, connect_fail, epoll_eintr,
    close_fail, unix_eintr, file_fail, wall_offset, step_at, wall_until, from_s, until_s = 1e9;
static _Atomic uint64_t state = 88172645463325252ull;
static double began;

static double monotonic(void) {
    static int (*real)(clockid_t, struct timespec *);
    struct timespec now;
    if (!real) real = dlsym(RTLD_NEXT, "clock_gettime");
    real(CLOCK_MONOTONIC, &now);
    return now.tv_sec + now.tv_nsec / 1e9;
}

static double knob(const char *text, const char *name, double otherwise) {
    size_t length = strlen(name);
    for (const char *at = text; at && *at; at = strchr(at, ';'), at = at ? at + 1 : NULL)
        if (!strncmp(at, name, length) && at[length] == '=') return strtod(at + length + 1, NULL);
    return otherwise;
}

__attribute__((constructor)) static void start(void) {
    const char *text = getenv("SOAK_SHIM");
    began = monotonic();
    if (!text) return;
    recv_eintr = knob(text, "recv_eintr", 0), send_eintr = knob(text, "send_eintr", 0);
    recv_short = knob(text, "recv_short", 0), send_short = knob(text, "send_short", 0);
    accept_fail = knob(text, "accept_fail", 0), socket_fail = knob(text, "socket_fail", 0);
    connect_fail = knob(text, "connect_fail", 0), epoll_eintr = knob(text, "epoll_eintr", 0);
    close_fail = knob(text, "close_fail", 0);
    unix_eintr = knob(text, "unix_eintr", 0), file_fail = knob(text, "file_fail", 0);
    wall_offset = knob(text, "wall_offset", 0), step_at = knob(text, "step_at", 0);
    wall_until = knob(text, "wall_until", 1e9);
    from_s = knob(text, "from", 0), until_s = knob(text, "until", 1e9);
    state = (uint64_t)knob(text, "seed", 1) * 0x9E3779B97F4A7C15ull + 1;
}

static uint64_t draw(void) {
    uint64_t x = atomic_fetch_add(&state, 0x9E3779B97F4A7C15ull);
    x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9ull;
    x = (x ^ (x >> 27)) * 0x94D049BB133111EBull;
    return x ^ (x >> 31);
}

static int hit(double chance) {
    if (chance <= 0) return 0;
    double age = monotonic() - began;
    return age >= from_s && age < until_s && (draw() >> 11) * 0x1p-53 < chance;
}

static int family(int fd) {
    int domain = 0, keep = errno;
    socklen_t length = sizeof domain;
    int got = getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &length);
    errno = keep;
    return got ? 0 : domain;
}

static int fail(int code) {
    errno = code;
    return -1;
}

static int interrupted(int fd, double chance) {
    int domain = chance > 0 || unix_eintr > 0 ? family(fd) : 0;
    return (domain == AF_INET && hit(chance)) || (domain == AF_UNIX && hit(unix_eintr));
}

/* A short call moves this many bytes at most: what the other side has sent is mostly more. */
enum { SHORT = 64 };

static size_t shortened(int fd, size_t length, double chance) {
    if (length < 2 || chance <= 0 || family(fd) != AF_INET || !hit(chance)) return length;
    return 1 + draw() % (length - 1 < SHORT ? length - 1 : SHORT);
}

static int one_of(const int *codes, int count) { return fail(codes[draw() % count]); }

#define REAL(type, name, ...)                       \
    static type (*real)(__VA_ARGS__);               \
    if (!real) real = dlsym(RTLD_NEXT, #name)

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    REAL(ssize_t, recv, int, void *, size_t, int);
    if (interrupted(fd, recv_eintr)) return fail(EINTR);
    return real(fd, buffer, flags & MSG_PEEK ? length : shortened(fd, length, recv_short), flags);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    REAL(ssize_t, send, int, const void *, size_t, int);
    if (interrupted(fd, send_eintr)) return fail(EINTR);
    return real(fd, buffer, shortened(fd, length, send_short), flags);
}

ssize_t recvmsg(int fd, struct msghdr *message, int flags) {
    REAL(ssize_t, recvmsg, int, struct msghdr *, int);
    return interrupted(fd, recv_eintr) ? fail(EINTR) : real(fd, message, flags);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags) {
    REAL(ssize_t, sendmsg, int, const struct msghdr *, int);
    return interrupted(fd, send_eintr) ? fail(EINTR) : real(fd, message, flags);
}

ssize_t readv(int fd, const struct iovec *parts, int count) {
    REAL(ssize_t, readv, int, const struct iovec *, int);
    return interrupted(fd, recv_eintr) ? fail(EINTR) : real(fd, parts, count);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(ssize_t, writev, int, const struct iovec *, int);
    if (interrupted(fd, send_eintr)) return fail(EINTR);
    if (count > 0 && shortened(fd, 2, send_short) == 1) {
        struct iovec first = parts[0];
        if (first.iov_len > 1) first.iov_len = 1 + draw() % (first.iov_len - 1);
        return real(fd, &first, 1);
    }
    return real(fd, parts, count);
}

ssize_t read(int fd, void *buffer, size_t length) {
    REAL(ssize_t, read, int, void *, size_t);
    return interrupted(fd, recv_eintr) ? fail(EINTR) : real(fd, buffer, length);
}

static int on_disk(int fd) {
    struct stat status;
    return file_fail > 0 && !fstat(fd, &status) && S_ISREG(status.st_mode);
}

ssize_t write(int fd, const void *buffer, size_t length) {
    REAL(ssize_t, write, int, const void *, size_t);
    static const int codes[] = {ENOSPC, EIO};
    if (interrupted(fd, send_eintr)) return fail(EINTR);
    if (on_disk(fd) && fd > 2 && hit(file_fail)) return one_of(codes, 2);
    return real(fd, buffer, length);
}

int fsync(int fd) {
    REAL(int, fsync, int);
    return on_disk(fd) && hit(file_fail) ? fail(EIO) : real(fd);
}

int fdatasync(int fd) {
    REAL(int, fdatasync, int);
    return on_disk(fd) && hit(file_fail) ? fail(EIO) : real(fd);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(int, accept4, int, struct sockaddr *, socklen_t *, int);
    static const int codes[] = {ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EINTR};
    return hit(accept_fail) ? one_of(codes, 6) : real(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    REAL(int, socket, int, int, int);
    static const int codes[] = {ENFILE, EMFILE, ENOBUFS, ENOMEM};
    return domain == AF_INET && hit(socket_fail) ? one_of(codes, 4) : real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(int, connect, int, const struct sockaddr *, socklen_t);
    static const int codes[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EAGAIN, EHOSTUNREACH};
    return connect_fail > 0 && family(fd) == AF_INET && hit(connect_fail) ? one_of(codes, 5)
                                                                         : real(fd, address, length);
}

/* close(2): whatever it returns but EBADF, Linux has released the descriptor. */
int close(int fd) {
    REAL(int, close, int);
    static const int codes[] = {EINTR, EIO, ENOSPC, EDQUOT};
    int fails = close_fail > 0 && family(fd) == AF_INET && hit(close_fail);
    int closed = real(fd);
    return fails && !closed ? one_of(codes, 4) : closed;
}

int epoll_wait(int fd, struct epoll_event *events, int count, int timeout) {
    REAL(int, epoll_wait, int, struct epoll_event *, int, int);
    return hit(epoll_eintr) ? fail(EINTR) : real(fd, events, count, timeout);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    REAL(int, clock_gettime, clockid_t, struct timespec *);
    int got = real(clock, now);
    if (!got && clock == CLOCK_REALTIME && wall_offset != 0) {
        double age = monotonic() - began;
        if (age >= step_at && age < wall_until) now->tv_sec += (time_t)wall_offset;
    }
    return got;
}
