/*
 * State of backend servers that their adjacent nodes tell to entry nodes.
 *
 * Load pattern: at any time up to 30% of the backend servers of a service fail
 * most requests for some seconds, and each pair of an entry node and a backend
 * server exchanges less than one request per failure period. An entry node that
 * learns the state only from answers to its own requests pays a redirect for
 * each open circuit breaker.
 *
 * Two halves, each used by one thread:
 *
 * - struct bb_backend_view, at the entry node: the newest load report of each
 *   backend server. It refuses reports of a former start, reports older than
 *   what is known, and reports whose age has no useful bound.
 * - struct bb_report_sender, at the adjacent node: decides which changes are
 *   sent to which nodes within a budget of bytes. Changes of the same backend
 *   server are merged, so that each message carries the newest state, and the
 *   nodes that sent a request most recently are told first.
 *
 * No I/O and no locks; times are microseconds of the caller's monotonic clock.
 */
#ifndef BAOBABWARD_BACKEND_VIEW_H
#define BAOBABWARD_BACKEND_VIEW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "baobabward/config.h"
#include "baobabward/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Longest time for which an unasked report counts: the longest time for which a
 * circuit breaker is open, see breaker.h. */
#define BB_REPORT_AGE_MAX_US INT64_C(2000000)
/* Time after which a node that sent nothing gets no more reports. */
#define BB_REPORT_LISTENER_US INT64_C(60000000)

struct bb_backend_view;

/**
 * struct bb_report_origin - where and when reports were sent.
 * @incarnation: of the sender
 * @clock_us: the sender's clock when it sent them
 * @age_min_us: least time since then, in the own clock
 * @age_max_us: longest time since then
 */
struct bb_report_origin {
	uint64_t incarnation;
	int64_t clock_us;
	int64_t age_min_us;
	int64_t age_max_us;
};

struct bb_backend_view *bb_backend_view_new(void);

/**
 * bb_backend_view_configure() - forget backend servers that @c does not have.
 */
void bb_backend_view_configure(struct bb_backend_view *v,
			       const struct bb_config *c);

/**
 * bb_backend_view_report() - take in a report.
 * @v: view
 * @r: the report
 * @configured_ms: when the backend server started by the configuration, 0 if
 *                 unknown
 * @o: where and when it was sent
 * @now_us: current time
 *
 * Return: false if the report changes nothing: it is of a former start, older
 * than what is known, or may be older than BB_REPORT_AGE_MAX_US.
 */
bool bb_backend_view_report(struct bb_backend_view *v,
			    const struct bb_backend_report *r,
			    uint64_t configured_ms,
			    const struct bb_report_origin *o, int64_t now_us);

/**
 * bb_backend_view_result() - take in the load of a RESULT.
 * @v: view
 * @backend: name of the backend server
 * @load: its load
 * @asked_us: when the request was sent; reports that were certainly sent before
 *            are older
 * @now_us: current time
 */
void bb_backend_view_result(struct bb_backend_view *v, const char *backend,
			    const struct bb_load *load, int64_t asked_us,
			    int64_t now_us);

/**
 * bb_backend_view_load() - newest load of a backend server.
 * @v: view
 * @backend: its name
 * @max_age_us: longest useful age
 * @now_us: current time
 * @load: set; its avoid_for_us counts from @now_us
 *
 * Return: false if nothing so recent is known.
 */
bool bb_backend_view_load(const struct bb_backend_view *v, const char *backend,
			  int64_t max_age_us, int64_t now_us,
			  struct bb_load *load);

/**
 * bb_backend_view_seen() - load of a backend server for the load balancer.
 * @load: its load
 * @slots: its slots by the configuration
 *
 * A backend server that takes only trials has nothing to do, but attracting
 * requests is not what it should do.
 *
 * Return: the load, with all slots taken for such a backend server.
 */
struct bb_load bb_backend_view_seen(const struct bb_load *load, uint32_t slots);

void bb_backend_view_delete(struct bb_backend_view *v);

struct bb_report_sender;

struct bb_report_sender *bb_report_sender_new(void);

/**
 * bb_report_sender_configure() - forget backend servers that @c does not have.
 */
void bb_report_sender_configure(struct bb_report_sender *s,
				const struct bb_config *c);

/**
 * bb_report_sender_set_rate() - set the budget.
 * @s: sender
 * @bytes_per_s: bytes per second, 0 to send nothing
 * @now_us: current time
 */
void bb_report_sender_set_rate(struct bb_report_sender *s, uint32_t bytes_per_s,
			       int64_t now_us);

/**
 * bb_report_sender_heard() - a node sent a HELLO or a request.
 * @s: sender
 * @host: name of its host
 * @now_us: current time
 */
void bb_report_sender_heard(struct bb_report_sender *s, const char *host,
			    int64_t now_us);

/**
 * bb_report_sender_forget() - a node cannot be reached any more.
 */
void bb_report_sender_forget(struct bb_report_sender *s, const char *host);

/**
 * bb_report_sender_observe() - present state of a backend server.
 * @s: sender
 * @r: state; the name is copied
 * @now_us: current time
 *
 * Call it whenever the state may have changed, and from time to time. A change
 * is due to be sent when the backend server asks to be avoided or no longer
 * does, and when it has had no free slot, or has had one again, for some time.
 */
void bb_report_sender_observe(struct bb_report_sender *s,
			      const struct bb_backend_report *r,
			      int64_t now_us);

/**
 * bb_report_sender_next() - next node that has to be told of changes.
 * @s: sender
 * @reports: filled in; names are valid until the next call of any function
 * @max: room in @reports
 * @nr: set to the number of @reports
 * @now_us: current time
 *
 * The message is charged to the budget.
 *
 * Return: name of its host, or NULL if there is none or the budget is used up.
 */
const char *bb_report_sender_next(struct bb_report_sender *s,
				  struct bb_backend_report *reports, size_t max,
				  size_t *nr, int64_t now_us);

/**
 * bb_report_message_bytes() - bytes that a message of reports is charged.
 * @reports: the reports
 * @nr: their number
 *
 * Return: upper bound of its encoded size and its framing.
 */
size_t bb_report_message_bytes(const struct bb_backend_report *reports,
			       size_t nr);

void bb_report_sender_delete(struct bb_report_sender *s);

#ifdef __cplusplus
}
#endif
#endif
