/*
 * A fault-injection library for tests, loaded into one process by LD_PRELOAD: makes system calls on sockets fail at random.
 *
 *   FAULTS_PER_MILLE   calls per thousand that fail or transfer only part of the data
 *   FAULTS_SEED        seed of the random numbers
 *   FAULTS_AFTER_MS    milliseconds from the first intercepted call until faults begin
 *   FAULTS_FOR_MS      how long they last
 *
 * A failing call has no effect; a failing connect leaves the socket unconnected. Reads and writes of descriptors other than sockets
 * are passed to the C library unchanged.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define COUNT(errors) ((int) (sizeof(errors) / sizeof((errors)[0])))

static const int ACCEPT_ERRORS[] = {ECONNABORTED, EMFILE, ENFILE, ENOBUFS, EINTR};
static const int SOCKET_ERRORS[] = {EMFILE, ENFILE, ENOBUFS};
static const int CONNECT_ERRORS[] = {EADDRNOTAVAIL, ENETUNREACH, ETIMEDOUT, EHOSTUNREACH};
static const int WAIT_ERRORS[] = {EINTR};
static const int READ_ERRORS[] = {EINTR, ETIMEDOUT, EHOSTUNREACH, ENOBUFS};
static const int WRITE_ERRORS[] = {EINTR, ENOBUFS, ETIMEDOUT, EHOSTUNREACH};

static atomic_ullong random_count;
/* Monotonic time of the first intercepted call; 0 before it. */
static atomic_llong first_call_ms;

static long long now_ms(void) {
    struct timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}

static long long environment_number(const char *name, long long default_value) {
    const char *text = getenv(name);
    return text == NULL ? default_value : atoll(text);
}

/* The SplitMix64 finalizer. */
static unsigned long long mix(unsigned long long z) {
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

static unsigned long long next_random(void) {
    unsigned long long seed = (unsigned long long) environment_number("FAULTS_SEED", 1);
    return mix(seed * 0x9e3779b97f4a7c15ULL + atomic_fetch_add(&random_count, 1));
}

/* Whether this call has to fail. */
static int should_fail(void) {
    long long now = now_ms();
    long long unset = 0;
    atomic_compare_exchange_strong(&first_call_ms, &unset, now);
    long long elapsed = now - atomic_load(&first_call_ms) - environment_number("FAULTS_AFTER_MS", 0);
    if (elapsed < 0 || elapsed >= environment_number("FAULTS_FOR_MS", 0)) {
        return 0;
    }
    return (long long) (next_random() % 1000) < environment_number("FAULTS_PER_MILLE", 0);
}

static int fail_with(const int *errors, int count) {
    errno = errors[next_random() % (unsigned long long) count];
    return -1;
}

static int is_socket(int fd) {
    struct stat s;
    int saved_errno = errno;
    int result = fstat(fd, &s) == 0 && S_ISSOCK(s.st_mode);
    errno = saved_errno;
    return result;
}

/* Declares the variable real, which points to the C library's function of this name. */
#define REAL(type, name, ...) \
    static type (*real)(__VA_ARGS__); \
    if (real == NULL) { \
        real = (type (*)(__VA_ARGS__)) dlsym(RTLD_NEXT, name); \
    }

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    REAL(int, "accept", int, struct sockaddr *, socklen_t *)
    return should_fail() ? fail_with(ACCEPT_ERRORS, COUNT(ACCEPT_ERRORS)) : real(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(int, "accept4", int, struct sockaddr *, socklen_t *, int)
    return should_fail() ? fail_with(ACCEPT_ERRORS, COUNT(ACCEPT_ERRORS)) : real(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    REAL(int, "socket", int, int, int)
    return should_fail() ? fail_with(SOCKET_ERRORS, COUNT(SOCKET_ERRORS)) : real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(int, "connect", int, const struct sockaddr *, socklen_t)
    return should_fail() ? fail_with(CONNECT_ERRORS, COUNT(CONNECT_ERRORS)) : real(fd, address, length);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
    REAL(int, "epoll_wait", int, struct epoll_event *, int, int)
    return should_fail() ? fail_with(WAIT_ERRORS, COUNT(WAIT_ERRORS)) : real(fd, events, max_events, timeout);
}

ssize_t read(int fd, void *buffer, size_t bytes) {
    REAL(ssize_t, "read", int, void *, size_t)
    if (!is_socket(fd) || !should_fail()) {
        return real(fd, buffer, bytes);
    }
    int partial = bytes > 1 && next_random() % 2 == 0;
    return partial ? real(fd, buffer, 1 + next_random() % (bytes - 1)) : fail_with(READ_ERRORS, COUNT(READ_ERRORS));
}

ssize_t write(int fd, const void *buffer, size_t bytes) {
    REAL(ssize_t, "write", int, const void *, size_t)
    if (!is_socket(fd) || !should_fail()) {
        return real(fd, buffer, bytes);
    }
    int partial = bytes > 1 && next_random() % 2 == 0;
    return partial ? real(fd, buffer, 1 + next_random() % (bytes - 1)) : fail_with(WRITE_ERRORS, COUNT(WRITE_ERRORS));
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(ssize_t, "writev", int, const struct iovec *, int)
    if (!is_socket(fd) || !should_fail()) {
        return real(fd, parts, count);
    }
    int partial = count > 1 && next_random() % 2 == 0;
    return partial ? real(fd, parts, 1) : fail_with(WRITE_ERRORS, COUNT(WRITE_ERRORS));
}
