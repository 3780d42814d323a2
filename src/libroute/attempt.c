#include "baobabward/attempt.h"

#include "baobabward/clock.h"

/* Redirects after which a request insists on a backend server. */
#define REDIRECTS_MAX 4
/* Attempts that are kept for backend servers where the request may wait. */
#define WAITING_ATTEMPTS 2
/* Least time that is worth another attempt: a round trip between zones. */
#define LEAST_US (2 * BB_US_PER_MS)

uint32_t bb_attempt_loaded(const struct bb_attempts_made *m)
{
	return m->nr - m->redirects;
}

/* One that had no free slot may be chosen again to wait there. */
static size_t list_excluded(const struct bb_attempts_made *m,
			    uint32_t *excluded)
{
	size_t nr = 0;

	for (uint32_t i = 0; i < m->nr; i++)
		if (!m->may_wait || !m->searched[i])
			excluded[nr++] = m->tried[i];
	return nr;
}

struct bb_choice bb_attempt_choose(struct bb_attempts_made *m,
				   const struct bb_attempt_rules *r,
				   struct bb_balance *b, int64_t now_us)
{
	uint32_t excluded[BB_ATTEMPTS_MAX];
	struct bb_choice c;
	size_t nr;

	m->insist = m->redirects - m->searches >= REDIRECTS_MAX;
	m->may_wait = m->searches >= r->slot_searches ||
		      m->nr + WAITING_ATTEMPTS >= BB_ATTEMPTS_MAX;
	nr = list_excluded(m, excluded);
	if (m->may_wait && m->searches)
		c = bb_balance_choose_least(b, excluded, nr, now_us);
	else
		c = bb_balance_choose(b, excluded, nr, now_us);
	if (c.backend == BB_NO_ROW) {
		/* What is left was redirected from, or asks to be avoided. */
		m->insist = true;
		c = bb_balance_choose_any(b, now_us);
	}
	if (c.backend != BB_NO_ROW) {
		m->searched[m->nr] = false;
		m->tried[m->nr++] = c.backend;
	}
	return c;
}

/* Whether a backend server may have got the request, run or not. */
static bool may_have_reached(const struct bb_attempt_end *e)
{
	return e->verdict != BB_VERDICT_NOT_RUN ||
	       e->reason == BB_REASON_BACKEND_REFUSED ||
	       e->reason == BB_REASON_MISDIRECTED;
}

static bool is_redirect(const struct bb_attempt_end *e)
{
	if (e->verdict != BB_VERDICT_NOT_RUN)
		return false;
	switch (e->reason) {
	case BB_REASON_EJECTED:
	case BB_REASON_LEAVING:
	case BB_REASON_STOPPING:
	case BB_REASON_UNKNOWN_BACKEND:
	case BB_REASON_PEER_SILENT:
		return true;
	default:
		return false;
	}
}

bool bb_attempt_is_search(const struct bb_attempts_made *m,
			  const struct bb_attempt_rules *r,
			  const struct bb_attempt_end *e, int64_t now_us)
{
	return !m->may_wait && e->verdict == BB_VERDICT_NOT_RUN &&
	       e->reason == BB_REASON_QUEUE_FULL &&
	       r->deadline_us - now_us > LEAST_US;
}

/*
 * One attempt that may have run is enough for the request to have run, whatever
 * later attempts say.
 */
static void note_verdict(struct bb_attempts_made *m, enum bb_verdict verdict)
{
	if (verdict == BB_VERDICT_RAN || m->verdict == BB_VERDICT_NOT_RUN)
		m->verdict = verdict;
}

bool bb_attempt_again(struct bb_attempts_made *m,
		      const struct bb_attempt_rules *r,
		      const struct bb_attempt_end *e,
		      struct bb_retry_budget *budget, int64_t now_us)
{
	struct bb_retry_attempt a = {
		.idempotent = r->idempotent,
		.verdict = e->verdict,
		.reason = e->reason,
		.attempts = bb_attempt_loaded(m),
		.deadline_us = r->deadline_us,
		.least_us = LEAST_US,
		.status = e->status,
	};

	if (budget && bb_attempt_is_search(m, r, e, now_us)) {
		m->searched[m->nr - 1] = true;
		m->searches++;
		m->redirects++;
		return true;
	}
	note_verdict(m, e->verdict);
	m->reached += may_have_reached(e);
	if (!budget || m->nr >= BB_ATTEMPTS_MAX ||
	    (r->reached_most && m->reached >= r->reached_most) ||
	    bb_retry_decide(budget, &a, now_us) != BB_RETRY_YES)
		return false;
	m->redirects += is_redirect(e);
	return true;
}
