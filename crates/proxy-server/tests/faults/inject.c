/* Makes system calls of a process fail in the ways that the Linux manual pages document. A test controls the
 * faults while the process runs.
 *
 * Tests preload this library into the proxy and share an array of integers with it, `words`, which is mapped
 * from the file that the variable FAULTS names. Each element is the number of failing calls per thousand, or
 * the offset of the wall clock in seconds. Nothing else in the process changes.
 *
 * A signal handler may call any of these functions, also while its own thread is inside one. Therefore they
 * take no lock, allocate no memory and resolve no symbols: all of that is done once, before the program
 * starts. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* The indices into `words`, in the order of `Fault` in fault_injection.rs. */
enum {
    SHORT_READ, INTERRUPTED_READ, SHORT_WRITE, INTERRUPTED_WRITE, ACCEPT, SOCKET, CONNECT, CONNECT_LOCAL, WAIT,
    SYNC, FILE_WRITE, FILE_OPEN, FILE_READ, FILE_RENAME, WALL_SECONDS, LISTEN, WORDS
};

/* The intercepted functions; the program would call those in `real_*` without this library. */
#define EACH_FUNCTION(apply) \
    apply(recv) apply(read) apply(send) apply(writev) apply(write) apply(accept4) apply(socket) apply(connect) apply(listen) apply(epoll_wait) \
    apply(fdatasync) apply(fsync) apply(rename) apply(open64) apply(clock_gettime)
#define DECLARE(name) static __typeof__(&name) real_##name;
#define LOOK_UP(name) real_##name = (__typeof__(&name))dlsym(RTLD_NEXT, #name);
EACH_FUNCTION(DECLARE)

static volatile int32_t *words;
static uint64_t seed = 1;
/* The state of the thread's random numbers. With other TLS models the first access may allocate memory. */
static __thread uint64_t state __attribute__((tls_model("initial-exec")));

__attribute__((constructor)) static void prepare(void) {
    EACH_FUNCTION(LOOK_UP)
    const char *text = getenv("FAULTS_SEED");
    if (text) seed = strtoull(text, NULL, 10);
    const char *path = getenv("FAULTS");
    int fd = path ? open(path, O_RDONLY) : -1;
    if (fd < 0) return;
    void *page = mmap(NULL, WORDS * sizeof(int32_t), PROT_READ, MAP_SHARED, fd, 0);
    if (page != MAP_FAILED) words = page;
    close(fd);
}

static uint32_t chance(void) {
    if (!state) state = seed * 0x9e3779b97f4a7c15u + (uintptr_t)&state + 1;
    state ^= state << 13, state ^= state >> 7, state ^= state << 17;
    return (uint32_t)(state >> 32);
}

static int hits(int word) { return words && words[word] > 0 && (int32_t)(chance() % 1000) < words[word]; }

static int fails(int word, const int *errors, size_t count) {
    if (!hits(word)) return 0;
    errno = errors[chance() % count];
    return 1;
}

#define FAILS(word, ...) fails(word, (const int[]){__VA_ARGS__}, sizeof((const int[]){__VA_ARGS__}) / sizeof(int))

/* Reads and writes fail only on connections. The runtime delivers signals through a pipe of its own and treats
 * an error on it as fatal, but a non-blocking read of that pipe is never interrupted in reality. */
static int is_connection(int fd) {
    int domain = 0;
    socklen_t size = sizeof domain;
    return words && !getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &size) && domain == AF_INET;
}

static size_t part(size_t size) { return size > 1 ? 1 + chance() % (size - 1 < 300 ? size - 1 : 300) : size; }

static int is_file(int fd) {
    struct stat status;
    return words && !fstat(fd, &status) && S_ISREG(status.st_mode);
}

ssize_t recv(int fd, void *bytes, size_t size, int flags) {
    if (!(flags & MSG_PEEK) && is_connection(fd)) {
        if (FAILS(INTERRUPTED_READ, EINTR)) return -1;
        if (hits(SHORT_READ)) size = part(size);
    }
    return real_recv(fd, bytes, size, flags);
}

ssize_t read(int fd, void *bytes, size_t size) {
    if (words && words[FILE_READ] && is_file(fd) && FAILS(FILE_READ, EIO)) return -1;
    return real_read(fd, bytes, size);
}

ssize_t send(int fd, const void *bytes, size_t size, int flags) {
    if (is_connection(fd)) {
        if (FAILS(INTERRUPTED_WRITE, EINTR)) return -1;
        if (hits(SHORT_WRITE)) size = part(size);
    }
    return real_send(fd, bytes, size, flags);
}

ssize_t writev(int fd, const struct iovec *pieces, int count) {
    if (is_connection(fd)) {
        if (FAILS(INTERRUPTED_WRITE, EINTR)) return -1;
        if (count > 0 && pieces[0].iov_len > 0 && hits(SHORT_WRITE)) return real_send(fd, pieces[0].iov_base, part(pieces[0].iov_len), MSG_NOSIGNAL);
    }
    return real_writev(fd, pieces, count);
}

/* On a full disk, half of the bytes may be written before the error. */
ssize_t write(int fd, const void *bytes, size_t size) {
    if (words && words[FILE_WRITE] && fd > 2 && is_file(fd) && hits(FILE_WRITE)) {
        if (size > 1 && chance() % 2) return real_write(fd, bytes, size / 2);
        errno = ENOSPC;
        return -1;
    }
    return real_write(fd, bytes, size);
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    if (FAILS(ACCEPT, ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EINTR, EPROTO, ENETDOWN)) return -1;
    return real_accept4(fd, address, size, flags);
}

int accept(int fd, struct sockaddr *address, socklen_t *size) { return accept4(fd, address, size, 0); }

int socket(int domain, int type, int protocol) {
    if (domain == AF_INET && FAILS(SOCKET, ENFILE, EMFILE, ENOBUFS, ENOMEM)) return -1;
    return real_socket(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    if (FAILS(CONNECT, EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, EAGAIN, ETIMEDOUT, EINTR)) return -1;
    if (FAILS(CONNECT_LOCAL, EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EAGAIN)) return -1;
    return real_connect(fd, address, size);
}

int listen(int fd, int backlog) { return FAILS(LISTEN, ENOBUFS, ENFILE, ENOMEM) ? -1 : real_listen(fd, backlog); }

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    return FAILS(WAIT, EINTR) ? -1 : real_epoll_wait(fd, events, most, timeout);
}

int fdatasync(int fd) { return FAILS(SYNC, EIO) ? -1 : real_fdatasync(fd); }

int fsync(int fd) { return FAILS(SYNC, EIO) ? -1 : real_fsync(fd); }

int rename(const char *old, const char *new) { return FAILS(FILE_RENAME, EIO, ENOSPC) ? -1 : real_rename(old, new); }

int open64(const char *path, int flags, ...) {
    va_list more;
    va_start(more, flags);
    mode_t mode = flags & O_CREAT ? va_arg(more, mode_t) : 0;
    va_end(more);
    if (words && words[FILE_OPEN] && path[0] == '/' && strstr(path, "haventrack") &&
        (flags & O_CREAT ? FAILS(FILE_OPEN, ENOSPC, EIO, ENFILE) : FAILS(FILE_OPEN, EIO, ENFILE, EMFILE)))
        return -1;
    return real_open64(path, flags, mode);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    int result = real_clock_gettime(clock, time);
    if (!result && words && clock == CLOCK_REALTIME) time->tv_sec += words[WALL_SECONDS];
    return result;
}
