/*
 * Bounded queue of pointers to a thread that runs a GLib main loop.
 * Any thread pushes; the receiving thread is woken through an eventfd.
 */
#ifndef BB_NODE_MAILBOX_H
#define BB_NODE_MAILBOX_H

#include <glib.h>
#include <stdbool.h>

#include "baobabward/error.h"

struct bb_mailbox;

/**
 * bb_mailbox_new() - create a mailbox.
 * @capacity: size of the ring, a power of two
 * @err: set on failure
 */
struct bb_mailbox *bb_mailbox_new(unsigned int capacity, struct bb_error *err);

/**
 * bb_mailbox_push() - add an entry; any thread.
 *
 * Return: false when the mailbox is full; the caller keeps the entry.
 */
bool bb_mailbox_push(struct bb_mailbox *m, void *entry);

/**
 * bb_mailbox_attach() - start to deliver entries in the main loop of @context.
 * @m: mailbox
 * @context: main context of the receiving thread
 * @receive: called for each entry in that thread
 * @data: passed to @receive
 */
void bb_mailbox_attach(struct bb_mailbox *m, GMainContext *context,
		       void (*receive)(void *data, void *entry), void *data);

/**
 * bb_mailbox_drain() - deliver all queued entries now; receiving thread only.
 */
void bb_mailbox_drain(struct bb_mailbox *m);

/**
 * bb_mailbox_clear() - remove all entries, after all threads have stopped.
 * @m: mailbox
 * @release: called for each entry, with NULL as @data
 */
void bb_mailbox_clear(struct bb_mailbox *m,
		      void (*release)(void *data, void *entry));

/**
 * bb_mailbox_delete() - free a mailbox; entries left in it are not freed.
 */
void bb_mailbox_delete(struct bb_mailbox *m);

#endif
