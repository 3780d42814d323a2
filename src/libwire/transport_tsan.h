/*
 * Thread sanitizer support. Debian's libzmq is not instrumented, so the
 * sanitizer does not see the order that its queues impose between the thread
 * that sends and the I/O thread. Accesses from within libzmq are ignored, and
 * the order for a sent buffer is declared by BB_TSAN_RELEASE() before the send
 * and BB_TSAN_ACQUIRE() when libzmq frees the buffer.
 */
#ifndef BB_TRANSPORT_TSAN_H
#define BB_TRANSPORT_TSAN_H

#ifdef __has_feature
#if __has_feature(thread_sanitizer)
#define BB_TSAN 1
#endif
#endif

#ifdef BB_TSAN
#include <sanitizer/tsan_interface.h>
#define BB_TSAN_RELEASE(p) __tsan_release(p)
#define BB_TSAN_ACQUIRE(p) __tsan_acquire(p)
#else
#define BB_TSAN_RELEASE(p) ((void)(p))
#define BB_TSAN_ACQUIRE(p) ((void)(p))
#endif

#endif
