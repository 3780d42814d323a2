/*
 * Log of a process, written through GLib's structured logging. A line has
 * key=value pairs, among them the part of the program that writes it, and
 * either a message of one short sentence or an event with its values.
 */
#ifndef BAOBABWARD_LOG_H
#define BAOBABWARD_LOG_H

#include <glib.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * enum bb_log_part - part of the program that writes a line.
 */
enum bb_log_part {
	BB_LOG_MAIN,
	BB_LOG_CONFIG,
	BB_LOG_FRONT,
	BB_LOG_TRAFFIC,
	BB_LOG_BACKEND,
	BB_LOG_MEMBER,
	BB_LOG_LEASE,
	BB_LOG_HEALTH,
	BB_LOG_TRACE,
	BB_LOG_PART_COUNT
};

/* Name of each part in a log line, indexed by enum bb_log_part. */
extern const char *const bb_log_part_string[];

/**
 * bb_log_init() - install the log writer; call once, before other threads.
 * @node: name of this node, added to each line, or NULL
 * @level: lowest severity to write, for example G_LOG_LEVEL_INFO
 */
void bb_log_init(const char *node, GLogLevelFlags level);

/**
 * bb_log() - write a line with a message; safe from any thread.
 * @part: part of the program
 * @level: GLib level; G_LOG_LEVEL_ERROR is not used since it aborts
 * @request: request identifier, or NULL
 * @format: printf format of the message; must not contain key material
 */
void bb_log(enum bb_log_part part, GLogLevelFlags level, const char *request,
	    const char *format, ...) __attribute__((format(printf, 4, 5)));

/**
 * bb_log_event() - write a line about a decision; safe from any thread.
 * @part: part of the program
 * @level: GLib level
 * @request: request identifier, or NULL
 * @event: name of the decision, without blanks
 * @format: printf format of its inputs and its outcome as key=value pairs; the
 *          values must not contain blanks or key material
 */
void bb_log_event(enum bb_log_part part, GLogLevelFlags level,
		  const char *request, const char *event, const char *format,
		  ...) __attribute__((format(printf, 5, 6)));

#define bb_log_info(part, ...) bb_log(part, G_LOG_LEVEL_INFO, NULL, __VA_ARGS__)
#define bb_log_warning(part, ...) \
	bb_log(part, G_LOG_LEVEL_WARNING, NULL, __VA_ARGS__)
#define bb_log_debug(part, ...) \
	bb_log(part, G_LOG_LEVEL_DEBUG, NULL, __VA_ARGS__)

#ifdef __cplusplus
}
#endif
#endif
