/*
 * Signals of the process, read by a main loop.
 *
 * They are blocked in all threads and read from a descriptor: no handler runs
 * on a thread that was interrupted at any point, no system call of a library
 * ends early, and a signal that arrives before the loop runs is kept for it.
 */
#ifndef BB_NODE_SIGNALS_H
#define BB_NODE_SIGNALS_H

#include <glib.h>

#include "baobabward/error.h"

struct bb_signals;

/**
 * bb_signals_block() - keep SIGTERM, SIGINT and SIGHUP for bb_signals_new().
 *
 * Called first in the process, before there are other threads: until then
 * SIGHUP ends it.
 */
void bb_signals_block(void);

/**
 * bb_signals_new() - receive the signals in a main loop.
 * @context: main context of the thread that receives them
 * @receive: called for each signal with its number
 * @data: passed to @receive
 * @err: set on failure
 *
 * Return: object for bb_signals_delete(), or NULL.
 */
struct bb_signals *bb_signals_new(GMainContext *context,
				  void (*receive)(void *data, int number),
				  void *data, struct bb_error *err);

/**
 * bb_signals_delete() - stop receiving; the signals stay blocked.
 * @s: object or NULL
 */
void bb_signals_delete(struct bb_signals *s);

#endif
