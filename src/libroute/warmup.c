#include "baobabward/warmup.h"

#include <assert.h>
#include <glib.h>
#include <math.h>

#include "baobabward/clock.h"

/* Cold time of a service that has a rate for it but no duration. */
#define DEFAULT_COLD_US (3 * BB_US_PER_S)
/* Bound on the requests in a second, as a multiple of the rate, where the
 * deployment has none: what a pace of that rate passes. */
#define DEFAULT_SECOND_FACTOR 1.5
/* A pace (pace.h) has a burst of half a second, so that it passes one and a half
 * times its rate in a second; below 2 requests per second the burst is 1. */
#define PACE_SECOND_FACTOR 1.5
#define PACE_BURST_MIN 1.0
/* Length of each step after the cold time and their number; the rate doubles with
 * each. The last one is above what the slots of a backend server take. */
#define STEP_US (500 * BB_US_PER_MS)
#define STEPS 3
/* Connections that break one after another without an answer in between. A crash
 * ends all of them; a single one may break by itself. */
#define BREAKS_MAX 2
/* Shortest and longest time between two checks: 25 ms of a backend server's time
 * are 2.5% of a slot at the shortest. Doubled with each check that fails. */
#define CHECK_INTERVAL_MIN_US (1 * BB_US_PER_S)
#define CHECK_INTERVAL_MAX_US (8 * BB_US_PER_S)

const char *const bb_warmup_source_string[] = { "none", "assumed", "registered",
						"answered" };

static_assert(sizeof(bb_warmup_source_string) /
			      sizeof(*bb_warmup_source_string) ==
		      BB_WARMUP_SOURCE_COUNT,
	      "bb_warmup_source_string must have a string for each source");

static bool is_limited(const struct bb_warmup *w)
{
	return w->terms.rate_per_s > 0;
}

bool bb_warmup_is_cold(const struct bb_warmup *w, int64_t now_us)
{
	return is_limited(w) && w->source != BB_WARMUP_NONE &&
	       (w->down || now_us < w->cold_until_us);
}

static void set_cold(struct bb_warmup *w, enum bb_warmup_source source,
		     int64_t until_us, int64_t now_us)
{
	w->source = source;
	w->cold_until_us = MIN(until_us, now_us + BB_WARMUP_MAX_US);
}

void bb_warmup_assume(struct bb_warmup *w, int64_t now_us)
{
	int64_t cold_us = w->terms.cold_us ? w->terms.cold_us : DEFAULT_COLD_US;
	int64_t until_us = now_us + cold_us;

	if (bb_warmup_is_cold(w, now_us))
		until_us = MAX(until_us, w->cold_until_us);
	set_cold(w, BB_WARMUP_ASSUMED, until_us, now_us);
	w->assumed_us = now_us;
	w->breaks = 0;
	w->check_wanted = true;
}

void bb_warmup_started(struct bb_warmup *w, const struct bb_warmup_terms *terms,
		       int64_t registered_until_us, int64_t now_us)
{
	*w = (struct bb_warmup){
		.terms = *terms,
		.registered_until_us = registered_until_us,
		.assumed_us = now_us,
		.next_check_us = w->next_check_us,
		.check_interval_us = CHECK_INTERVAL_MIN_US,
		.checking = w->checking,
		.check_sent_us = w->check_sent_us,
	};
	if (registered_until_us > now_us)
		set_cold(w, BB_WARMUP_REGISTERED, registered_until_us, now_us);
	else
		bb_warmup_assume(w, now_us);
}

void bb_warmup_registered(struct bb_warmup *w, int64_t until_us, int64_t now_us)
{
	if (until_us == w->registered_until_us)
		return;
	w->registered_until_us = until_us;
	if (until_us <= now_us)
		return;
	if (!bb_warmup_is_cold(w, now_us)) {
		set_cold(w, BB_WARMUP_REGISTERED, until_us, now_us);
		return;
	}
	switch (w->source) {
	case BB_WARMUP_REGISTERED:
		set_cold(w, BB_WARMUP_REGISTERED, until_us, now_us);
		break;
	case BB_WARMUP_ASSUMED:
		set_cold(w, BB_WARMUP_ASSUMED, MAX(until_us, w->cold_until_us),
			 now_us);
		break;
	default:
		/* The answer was not late as the registration may be. */
		break;
	}
}

void bb_warmup_told(struct bb_warmup *w, int64_t left_us, int64_t sent_us,
		    int64_t now_us)
{
	if (sent_us < w->assumed_us)
		return;
	w->check_wanted = false;
	w->down = false;
	w->breaks = 0;
	if (left_us > 0)
		set_cold(w, BB_WARMUP_ANSWERED,
			 now_us + MIN(left_us, BB_WARMUP_MAX_US), now_us);
	else if (w->source == BB_WARMUP_ASSUMED)
		w->source = BB_WARMUP_NONE;
	else if (bb_warmup_is_cold(w, now_us))
		w->cold_until_us = now_us;
}

void bb_warmup_broke(struct bb_warmup *w, bool refused, int64_t now_us)
{
	if (!is_limited(w))
		return;
	w->breaks++;
	if (refused || w->breaks >= BREAKS_MAX)
		bb_warmup_assume(w, now_us);
	w->down = w->down || refused;
}

void bb_warmup_served(struct bb_warmup *w, int64_t now_us)
{
	w->breaks = 0;
	if (!w->down)
		return;
	w->down = false;
	bb_warmup_assume(w, now_us);
	w->next_check_us = now_us;
}

bool bb_warmup_check_due(const struct bb_warmup *w, int64_t now_us)
{
	return is_limited(w) && w->check_wanted && !w->checking &&
	       now_us >= w->next_check_us;
}

void bb_warmup_check_sent(struct bb_warmup *w, int64_t now_us)
{
	w->checking = true;
	w->check_sent_us = now_us;
	w->next_check_us = now_us + w->check_interval_us;
}

void bb_warmup_check_answered(struct bb_warmup *w, int64_t left_us,
			      int64_t now_us)
{
	w->checking = false;
	w->check_interval_us = CHECK_INTERVAL_MIN_US;
	bb_warmup_told(w, left_us, w->check_sent_us, now_us);
}

void bb_warmup_check_failed(struct bb_warmup *w, bool refused, int64_t now_us)
{
	w->checking = false;
	w->check_interval_us =
		MIN(2 * w->check_interval_us, CHECK_INTERVAL_MAX_US);
	if (!refused)
		return;
	bb_warmup_assume(w, now_us);
	w->down = true;
}

/* Highest rate of a pace that keeps the bound on the requests in a second. */
static double cold_rate(const struct bb_warmup_terms *t)
{
	double most = t->second_max > 0 ? t->second_max :
					  t->rate_per_s * DEFAULT_SECOND_FACTOR;
	double rate = fmin(t->rate_per_s, most / PACE_SECOND_FACTOR);

	if (rate * (PACE_SECOND_FACTOR - 1) >= PACE_BURST_MIN)
		return rate;
	return fmax(0, fmin(t->rate_per_s, most - PACE_BURST_MIN));
}

double bb_warmup_rate(const struct bb_warmup *w, int64_t now_us)
{
	int64_t step;

	if (!is_limited(w) || w->source == BB_WARMUP_NONE)
		return -1;
	if (bb_warmup_is_cold(w, now_us))
		return cold_rate(&w->terms);
	step = (now_us - w->cold_until_us) / STEP_US;
	if (step >= STEPS)
		return -1;
	return cold_rate(&w->terms) * (double)(2 << step);
}
