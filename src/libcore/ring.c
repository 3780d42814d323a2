#include "libcore/ring.h"

#include <ck_ring.h>
#include <glib.h>
#include <pthread.h>

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

/**
 * struct bb_ring - see ring.h.
 * @ring: positions
 * @buffer: the pointers
 * @producers: held during a push
 */
struct bb_ring {
	ck_ring_t ring;
	ck_ring_buffer_t *buffer;
	pthread_mutex_t producers;
};

/*
 * Concurrency Kit orders its memory accesses with inline assembly, which
 * ThreadSanitizer does not see. It ignores the accesses within a ring, and is
 * told that a push happens before the pop of the same pointer; accesses to the
 * objects behind the pointers are still checked.
 */
static void tsan_ignore(bool begin)
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

struct bb_ring *bb_ring_new(unsigned int capacity)
{
	struct bb_ring *r = g_aligned_alloc0(1, sizeof(*r), CK_MD_CACHELINE);

	r->buffer = g_new0(ck_ring_buffer_t, capacity);
	ck_ring_init(&r->ring, capacity);
	pthread_mutex_init(&r->producers, NULL);
	return r;
}

bool bb_ring_push(struct bb_ring *r, void *entry)
{
	bool ok;

	pthread_mutex_lock(&r->producers);
#ifdef BB_RING_TSAN
	__tsan_release(r);
#endif
	tsan_ignore(true);
	ok = ck_ring_enqueue_spsc(&r->ring, r->buffer, entry);
	tsan_ignore(false);
	pthread_mutex_unlock(&r->producers);
	return ok;
}

bool bb_ring_pop(struct bb_ring *r, void **entry)
{
	bool ok;

	tsan_ignore(true);
	ok = ck_ring_dequeue_spsc(&r->ring, r->buffer, entry);
	tsan_ignore(false);
#ifdef BB_RING_TSAN
	__tsan_acquire(r);
#endif
	return ok;
}

unsigned int bb_ring_length(const struct bb_ring *r)
{
	return ck_ring_size(&r->ring);
}

void bb_ring_delete(struct bb_ring *r)
{
	if (!r)
		return;
	pthread_mutex_destroy(&r->producers);
	g_free(r->buffer);
	g_aligned_free(r);
}
