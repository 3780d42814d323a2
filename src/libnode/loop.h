/* Event sources on a thread's own GLib main context. */
#ifndef BB_NODE_LOOP_H
#define BB_NODE_LOOP_H

#include <glib-unix.h>
#include <glib.h>

/**
 * bb_loop_new() - create the main context of a thread.
 *
 * The loop that runs it counts its rounds if its thread has called
 * bb_rounds_begin().
 *
 * Return: context that the caller unreferences.
 */
GMainContext *bb_loop_new(void);

/**
 * bb_loop_add_fd() - watch a file descriptor.
 * @context: main context of the thread
 * @fd: file descriptor
 * @condition: events to wait for
 * @fn: called on an event; returns G_SOURCE_CONTINUE to keep the source
 * @data: passed to @fn
 *
 * Return: source to give to bb_loop_remove().
 */
#define bb_loop_add_fd(context, fd, condition, fn, data)       \
	bb_loop_add_named_fd(context, fd, condition, fn, data, \
			     __FILE_NAME__ ":" #fn)

/**
 * bb_loop_add_timeout() - call a function after some time.
 * @context: main context of the thread
 * @delay_us: microseconds, rounded up to milliseconds
 * @fn: called then; returns G_SOURCE_CONTINUE to be called again after the
 *	same time
 * @data: passed to @fn
 *
 * Return: source to give to bb_loop_remove().
 */
#define bb_loop_add_timeout(context, delay_us, fn, data)       \
	bb_loop_add_named_timeout(context, delay_us, fn, data, \
				  __FILE_NAME__ ":" #fn)

/**
 * bb_loop_remove() - remove and free a source.
 * @source: pointer to the source, set to NULL; may point to NULL
 */
void bb_loop_remove(GSource **source);

/* The functions behind the macros above; @name is a string that stays valid. */
GSource *bb_loop_add_named_fd(GMainContext *context, int fd,
			      GIOCondition condition, GUnixFDSourceFunc fn,
			      void *data, const char *name);
GSource *bb_loop_add_named_timeout(GMainContext *context, gint64 delay_us,
				   GSourceFunc fn, void *data,
				   const char *name);

#endif
