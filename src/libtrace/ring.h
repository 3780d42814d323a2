/*
 * Multi-producer single-consumer ring buffer of pointers, annotated for
 * ThreadSanitizer.
 *
 * Concurrency Kit orders its memory accesses with inline assembly, which the
 * sanitizer does not see. The annotations make it ignore the accesses within a
 * ring and declare that a push happens before the pop of the same pointer;
 * accesses to the objects behind the pointers are still checked.
 */
#ifndef BB_TRACE_RING_H
#define BB_TRACE_RING_H

#include <ck_ring.h>
#include <stdbool.h>

#ifdef __has_feature
#if __has_feature(thread_sanitizer)
#define BB_RING_TSAN 1
#endif
#endif

#ifdef BB_RING_TSAN
#include <sanitizer/tsan_interface.h>
/* Functions of the sanitizer's run-time library, which no header declares. */
void AnnotateIgnoreReadsBegin(const char *file, int line);
void AnnotateIgnoreReadsEnd(const char *file, int line);
void AnnotateIgnoreWritesBegin(const char *file, int line);
void AnnotateIgnoreWritesEnd(const char *file, int line);
#endif

static inline void bb_ring_tsan_ignore(bool begin)
{
#ifdef BB_RING_TSAN
	if (begin) {
		AnnotateIgnoreReadsBegin(__FILE__, __LINE__);
		AnnotateIgnoreWritesBegin(__FILE__, __LINE__);
	} else {
		AnnotateIgnoreWritesEnd(__FILE__, __LINE__);
		AnnotateIgnoreReadsEnd(__FILE__, __LINE__);
	}
#else
	(void)begin;
#endif
}

/**
 * bb_ring_push() - append a pointer; any thread may call it.
 * @ring: ring
 * @buffer: its buffer
 * @entry: pointer to append
 *
 * Return: false if the ring is full.
 */
static inline bool bb_ring_push(ck_ring_t *ring, ck_ring_buffer_t *buffer,
				void *entry)
{
	bool ok;

#ifdef BB_RING_TSAN
	__tsan_release(ring);
#endif
	bb_ring_tsan_ignore(true);
	ok = ck_ring_enqueue_mpsc(ring, buffer, entry);
	bb_ring_tsan_ignore(false);
	return ok;
}

/**
 * bb_ring_pop() - remove the oldest pointer; only one thread may call it.
 * @ring: ring
 * @buffer: its buffer
 * @entry: address of the pointer variable to set
 *
 * Return: false if the ring is empty.
 */
static inline bool bb_ring_pop(ck_ring_t *ring, ck_ring_buffer_t *buffer,
			       void *entry)
{
	bool ok;

	bb_ring_tsan_ignore(true);
	ok = ck_ring_dequeue_mpsc(ring, buffer, entry);
	bb_ring_tsan_ignore(false);
#ifdef BB_RING_TSAN
	__tsan_acquire(ring);
#endif
	return ok;
}

#endif
