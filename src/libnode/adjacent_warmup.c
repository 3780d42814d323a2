/*
 * Cold times of the backend servers beside this node: the pace of their requests
 * and the health checks that tell how long they stay cold.
 */
#include "libnode/adjacent_private.h"

#include <string.h>

#include "baobabward/clock.h"
#include "baobabward/log.h"
#include "baobabward/metrics.h"

/* As for the probes of the health monitor. */
#define CHECK_TIMEOUT_US (1 * BB_US_PER_S)
#define CHECK_BODY_MAX 65536u

static void log_cold(struct adjacent_backend *b, bool cold, int64_t now_us)
{
	const struct bb_warmup *w = &b->warmup;

	if (cold == b->logged_cold)
		return;
	b->logged_cold = cold;
	if (cold) {
		bb_metrics_add(BB_METRIC_COLD_TIMES, 1);
		bb_log_event(BB_LOG_BACKEND, G_LOG_LEVEL_INFO, NULL, "cold",
			     "backend=%s by=%s left_ms=%" G_GINT64_FORMAT
			     " per_s=%g",
			     b->name, bb_warmup_source_string[w->source],
			     (w->cold_until_us - now_us) / BB_US_PER_MS,
			     bb_warmup_rate(w, now_us));
	} else {
		bb_log_event(BB_LOG_BACKEND, G_LOG_LEVEL_INFO, NULL, "warm",
			     "backend=%s per_s=%g", b->name,
			     bb_warmup_rate(w, now_us));
	}
}

/* The lower of two limits, of which a negative one is none. */
static double lower_limit(double a, double b)
{
	if (a < 0 || b < 0)
		return MAX(a, b);
	return MIN(a, b);
}

void bb_adjacent_apply_rate(struct adjacent_backend *b, int64_t now_us)
{
	bb_queue_set_rate(b->queue,
			  lower_limit(b->named_limit_per_s,
				      bb_warmup_rate(&b->warmup, now_us)),
			  now_us);
	log_cold(b, bb_warmup_is_cold(&b->warmup, now_us), now_us);
}

void bb_adjacent_configure_warmup(struct adjacent_backend *b,
				  const struct bb_config *c,
				  const struct bb_backend *row, bool started,
				  int64_t now_us)
{
	const struct bb_service *s = &c->services[row->service];
	bool evacuated = c->hosts[row->host].evacuated;
	const struct bb_warmup_terms terms = {
		.cold_us = s->warmup_ms * BB_US_PER_MS,
		.rate_per_s = s->warmup_per_s,
		.second_max = s->warmup_max,
	};

	if (started) {
		bb_warmup_started(&b->warmup, &terms, row->cold_until_us,
				  now_us);
	} else {
		b->warmup.terms = terms;
		/* It may have become cold while it got no requests. */
		if (b->evacuated && !evacuated)
			bb_warmup_assume(&b->warmup, now_us);
		bb_warmup_registered(&b->warmup, row->cold_until_us, now_us);
	}
	b->evacuated = evacuated;
}

void bb_adjacent_note_answer(struct adjacent_backend *b,
			     const struct bb_execution_result *r,
			     int64_t sent_us)
{
	int64_t now_us = bb_clock_now_us();

	switch (r->end) {
	case BB_EXECUTION_NOT_SENT:
		/* Without a refusal, the time of the request may have been too
		 * short to connect. */
		if (!r->connect_refused)
			return;
		bb_warmup_broke(&b->warmup, true, now_us);
		break;
	case BB_EXECUTION_BROKEN:
	case BB_EXECUTION_TRUNCATED:
		bb_warmup_broke(&b->warmup, false, now_us);
		break;
	case BB_EXECUTION_DONE:
	case BB_EXECUTION_REFUSED:
		bb_warmup_served(&b->warmup, now_us);
		if (r->notice.tells_warmup)
			bb_warmup_told(&b->warmup, r->notice.warmup_us, sent_us,
				       now_us);
		break;
	default:
		return;
	}
	bb_adjacent_tick_warmup(b, now_us);
}

/* An answer without the header is that of a backend server that is not cold,
 * unless it is an error. */
static bool tells_warmup(const struct bb_execution_result *r)
{
	return r->end == BB_EXECUTION_DONE &&
	       (r->notice.tells_warmup ||
		(r->status < 400 && !r->notice.unreadable));
}

static void on_checked(void *data, const struct bb_execution_result *r)
{
	struct adjacent_backend *b = data;
	int64_t now_us = bb_clock_now_us();
	bool told = tells_warmup(r);

	b->warmup_check = NULL;
	bb_queue_connection_closed(b->queue);
	if (told)
		bb_warmup_check_answered(&b->warmup, r->notice.warmup_us,
					 now_us);
	else
		bb_warmup_check_failed(&b->warmup, r->connect_refused, now_us);
	bb_log_event(BB_LOG_BACKEND, G_LOG_LEVEL_INFO, NULL, "warmup_check",
		     "backend=%s end=%s status=%u left_ms=%" G_GINT64_FORMAT,
		     b->name, bb_execution_end_string[r->end], r->status,
		     told ? r->notice.warmup_us / BB_US_PER_MS : -1);
	bb_adjacent_apply_rate(b, now_us);
	bb_adjacent_start_queued(b);
}

/* Its connection is closed afterwards, so that it takes no idle connection from
 * a request. */
static void send_check(struct adjacent_backend *b, int64_t now_us)
{
	const struct bb_config *c = b->adjacent->snapshot->config;
	uint32_t row = bb_config_find_backend(c, b->name, strlen(b->name));
	struct bb_execution_request r = {
		.url = b->url,
		.method = { "GET", strlen("GET") },
		.timeout_us = CHECK_TIMEOUT_US,
		.max_body = CHECK_BODY_MAX,
		.at_most_once = true,
		.dialect = b->adjacent->o.dialect,
		.backend_id = b->name,
	};
	const char *path;
	struct bb_error err;

	if (row == BB_NO_ROW || !bb_queue_may_connect(b->queue, now_us))
		return;
	path = c->services[c->backends[row].service].health_path;
	r.target = (struct bb_bytes){ path, strlen(path) };
	bb_warmup_check_sent(&b->warmup, now_us);
	b->warmup_check = bb_executor_start(b->adjacent->executor, &r,
					    on_checked, b, &err);
	if (!b->warmup_check) {
		bb_log_warning(BB_LOG_BACKEND,
			       "cannot start a health check of %s: %s", b->name,
			       err.message);
		bb_warmup_check_failed(&b->warmup, false, now_us);
		return;
	}
	bb_queue_connection_opened(b->queue, now_us);
	bb_metrics_add(BB_METRIC_WARMUP_CHECKS, 1);
}

void bb_adjacent_tick_warmup(struct adjacent_backend *b, int64_t now_us)
{
	bb_adjacent_apply_rate(b, now_us);
	/* One that gets no requests is checked when it gets some again. */
	if (!bb_adjacent_is_leaving(b) &&
	    bb_warmup_check_due(&b->warmup, now_us))
		send_check(b, now_us);
}

void bb_adjacent_cancel_check(struct adjacent_backend *b)
{
	if (!b->warmup_check)
		return;
	bb_executor_cancel(b->warmup_check);
	b->warmup_check = NULL;
	bb_queue_connection_closed(b->queue);
	bb_warmup_check_failed(&b->warmup, false, bb_clock_now_us());
}
