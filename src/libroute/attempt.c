#include "baobabward/attempt.h"

#include "baobabward/clock.h"

/* Redirects after which an attempt is made as a last resort, which a backend
 * server does not redirect because of its breaker. */
#define REDIRECTS_MAX 4
/* Attempts reserved for backend servers at which the request may wait. */
#define WAITING_ATTEMPTS 2
/* Least remaining time for another attempt: a round trip between zones. */
#define MIN_ATTEMPT_US (2 * BB_US_PER_MS)
/* Attempts withheld because they would be redirected; the next one is the last
 * resort. */
#define WITHHELD_MAX (2 * REDIRECTS_MAX)
/* Longest time of a failure "at once": failure periods answer within 10 ms, and
 * the request may have waited for a slot. */
#define AT_ONCE_US (100 * BB_US_PER_MS)

uint32_t bb_attempt_count_without_redirects(const struct bb_attempt_history *m)
{
	return m->nr - m->redirects;
}

/* Excludes the backend servers of earlier attempts. When the request may wait,
 * those that had no free slot may be chosen again. */
static size_t collect_excluded(const struct bb_attempt_history *m,
			       uint32_t *excluded)
{
	size_t nr = 0;

	for (uint32_t i = 0; i < m->nr; i++)
		if (!m->may_wait || !m->had_no_slot[i])
			excluded[nr++] = m->backends[i];
	return nr;
}

/* Two withheld attempts take the messages of one redirect. All of them must
 * leave room for a last resort within BB_ATTEMPTS_MAX. */
static uint32_t redirects_counted(const struct bb_attempt_history *m)
{
	uint32_t sent =
		m->redirects - m->failed_searches - m->withheld_redirects;

	return sent + m->withheld_redirects / 2;
}

/*
 * A search that was withheld took a HELLO instead of a HELLO and an EXECUTE, so
 * that twice as many fit into the same time.
 */
static uint32_t searches_max(const struct bb_attempt_history *m,
			     const struct bb_attempt_limits *r)
{
	uint32_t withheld = m->withheld_searches;

	return r->max_slot_searches + (withheld < r->max_slot_searches ?
					       withheld :
					       r->max_slot_searches);
}

struct bb_choice bb_attempt_choose(struct bb_attempt_history *m,
				   const struct bb_attempt_limits *r,
				   struct bb_balance *b, int64_t now_us)
{
	uint32_t excluded[BB_ATTEMPTS_MAX];
	struct bb_choice c;
	size_t nr;

	m->last_resort = redirects_counted(m) >= REDIRECTS_MAX;
	m->may_wait = m->failed_searches >= searches_max(m, r) ||
		      m->nr + WAITING_ATTEMPTS >= BB_ATTEMPTS_MAX;
	nr = collect_excluded(m, excluded);
	if (m->may_wait && m->failed_searches)
		c = bb_balance_place_least_loaded(b, r->placement, excluded, nr,
						  now_us);
	else
		c = bb_balance_place(b, r->placement, excluded, nr, now_us);
	if (c.backend == BB_NO_ROW) {
		/* The backend servers left have redirected this request, or
		 * ask to be avoided. */
		m->last_resort = true;
		c = bb_balance_choose_any(b, now_us);
	}
	if (c.backend != BB_NO_ROW) {
		m->had_no_slot[m->nr] = false;
		m->backends[m->nr++] = c.backend;
	}
	return c;
}

enum bb_reason bb_attempt_withhold(struct bb_attempt_history *m,
				   const struct bb_attempt_limits *r,
				   const struct bb_load *load, uint32_t slots,
				   int64_t now_us)
{
	bool full = load->in_flight + load->queued >= load->slots;
	bool trials_only = load->slots == 1 && slots > 1;
	bool is_trial = r->idempotent && !m->backends_reached;

	if (!r->use_reports || m->last_resort || m->nr >= BB_ATTEMPTS_MAX ||
	    r->deadline_us - now_us <= MIN_ATTEMPT_US)
		return BB_REASON_NONE;
	if (load->avoid_for_us > 0 || (trials_only && !is_trial)) {
		if (m->withheld_redirects >= WITHHELD_MAX)
			return BB_REASON_NONE;
		m->withheld_redirects++;
		m->redirects++;
		m->withheld++;
		return BB_REASON_EJECTED;
	}
	if (m->may_wait || !full || !load->slots)
		return BB_REASON_NONE;
	m->had_no_slot[m->nr - 1] = true;
	m->failed_searches++;
	m->withheld_searches++;
	m->redirects++;
	m->withheld++;
	return BB_REASON_QUEUE_FULL;
}

/* Whether a backend server may have received the request, run or not. */
static bool may_have_reached(const struct bb_attempt_outcome *e)
{
	return e->verdict != BB_VERDICT_NOT_RUN ||
	       e->reason == BB_REASON_BACKEND_REFUSED ||
	       e->reason == BB_REASON_MISDIRECTED;
}

static bool is_redirect(const struct bb_attempt_outcome *e)
{
	if (e->verdict != BB_VERDICT_NOT_RUN)
		return false;
	switch (e->reason) {
	case BB_REASON_EJECTED:
	case BB_REASON_LEAVING:
	case BB_REASON_STOPPING:
	case BB_REASON_UNKNOWN_BACKEND:
	case BB_REASON_PEER_SILENT:
	case BB_REASON_PEER_LIMIT:
		return true;
	default:
		return false;
	}
}

bool bb_attempt_found_no_slot(const struct bb_attempt_history *m,
			      const struct bb_attempt_limits *r,
			      const struct bb_attempt_outcome *e,
			      int64_t now_us)
{
	return !m->may_wait && e->verdict == BB_VERDICT_NOT_RUN &&
	       e->reason == BB_REASON_QUEUE_FULL &&
	       r->deadline_us - now_us > MIN_ATTEMPT_US;
}

/*
 * The verdict of the request covers all attempts: if an earlier one may have
 * run, a later one that did not run does not change the verdict to "not run".
 */
static void merge_verdict(struct bb_attempt_history *m, enum bb_verdict verdict)
{
	if (verdict == BB_VERDICT_RAN || m->verdict == BB_VERDICT_NOT_RUN)
		m->verdict = verdict;
}

bool bb_attempt_decide_retry(struct bb_attempt_history *m,
			     const struct bb_attempt_limits *r,
			     const struct bb_attempt_outcome *e,
			     struct bb_retry_budget *budget, int64_t now_us)
{
	struct bb_retry_attempt a = {
		.idempotent = r->idempotent,
		.verdict = e->verdict,
		.reason = e->reason,
		.attempts = bb_attempt_count_without_redirects(m),
		.deadline_us = r->deadline_us,
		.min_attempt_us = MIN_ATTEMPT_US,
		.status = e->status,
		.spare_failures = r->use_reports,
		.at_once = r->use_reports && e->took_us <= AT_ONCE_US,
	};

	if (budget && bb_attempt_found_no_slot(m, r, e, now_us)) {
		m->had_no_slot[m->nr - 1] = true;
		m->failed_searches++;
		m->redirects++;
		return true;
	}
	merge_verdict(m, e->verdict);
	m->backends_reached += may_have_reached(e);
	if (!budget || m->nr >= BB_ATTEMPTS_MAX ||
	    (r->max_backends_reached &&
	     m->backends_reached >= r->max_backends_reached) ||
	    bb_retry_decide(budget, &a, now_us) != BB_RETRY_YES)
		return false;
	m->redirects += is_redirect(e);
	return true;
}
