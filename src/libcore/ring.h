/*
 * Bounded queue of pointers from several threads to one.
 *
 * The receiving thread takes no lock. Threads that push take turns under a lock
 * that sleeps: without one, a thread that loses its core in the middle of a push
 * would let all others that push use up theirs.
 */
#ifndef BB_CORE_RING_H
#define BB_CORE_RING_H

#include <stdbool.h>

struct bb_ring;

/**
 * bb_ring_new() - create an empty queue.
 * @capacity: number of pointers plus one, a power of two
 *
 * Return: queue for bb_ring_delete().
 */
struct bb_ring *bb_ring_new(unsigned int capacity);

/**
 * bb_ring_push() - append a pointer; any thread may call it.
 * @r: queue
 * @entry: pointer to append
 *
 * Return: false if the queue is full.
 */
bool bb_ring_push(struct bb_ring *r, void *entry);

/**
 * bb_ring_pop() - remove the oldest pointer; only one thread may call it.
 * @r: queue
 * @entry: set to the pointer
 *
 * Return: false if the queue is empty.
 */
bool bb_ring_pop(struct bb_ring *r, void **entry);

/**
 * bb_ring_length() - number of pointers in the queue; any thread may call it.
 * @r: queue
 *
 * Return: number at some time during the call.
 */
unsigned int bb_ring_length(const struct bb_ring *r);

/**
 * bb_ring_delete() - free a queue; pointers left in it are not freed.
 * @r: queue or NULL
 */
void bb_ring_delete(struct bb_ring *r);

#endif
