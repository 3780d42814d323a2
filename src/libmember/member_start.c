/*
 * Start of a node: when its candidate configuration may be put in force.
 *
 * Invariant: an accepted configuration never reverts. The earlier incarnation
 * of this seat may have accepted a version together with a quorum of seats, and
 * the candidate may come from a stale replica. Any quorum that accepted a
 * version before the start has a seat in common with the other seats that are
 * asked, so one of them reports the version unless it has restarted as well.
 */
#include "libmember/member_private.h"

/**
 * struct evidence - number of other seats with evidence from after the start.
 * @serving: seats with a version in force
 * @starting: seats that were starting and do not know what they had accepted
 * @heard: seats that are one or the other
 */
struct evidence {
	size_t serving;
	size_t starting;
	size_t heard;
};

static struct evidence collect_evidence(const struct bb_member *m)
{
	struct evidence e = { 0 };

	for (size_t i = 0; i < m->seats_nr; i++) {
		const struct bb_seat *s = &m->seats[i];
		bool serving = s->last_serving_us >= m->start_us;
		bool starting = s->last_starting_us >= m->start_us;

		if (i == m->self)
			continue;
		/* A seat that started and then served counts in both. */
		e.serving += serving;
		e.starting += starting;
		e.heard += serving || starting;
	}
	return e;
}

static bool may_put_in_force(const struct bb_member *m, int64_t now_us)
{
	bool waited = now_us - m->start_us >= m->o.freshness_us;
	bool is_seat = m->self != BB_NO_ROW;
	size_t others = m->seats_nr - is_seat;
	size_t quorum = bb_member_quorum_size(m->seats_nr);
	struct evidence e;

	if (m->highest_version > m->o.config->version)
		return false;
	/*
	 * A starting peer may have read a version that no peer can deliver, so
	 * that its candidate delays the start only for the freshness bound.
	 */
	if (m->candidate_version > m->o.config->version && !waited)
		return false;
	e = collect_evidence(m);
	if (e.serving >= MIN(quorum, others) || e.heard == others)
		return true;
	return waited && e.starting + is_seat >= quorum;
}

void bb_member_check_start(struct bb_member *m, int64_t now_us)
{
	if (m->in_force)
		return;
	m->start_us = MIN(m->start_us, now_us);
	if (!m->o.config_linearizable && !may_put_in_force(m, now_us))
		return;
	m->in_force = true;
	m->quorum_valid = false;
}

void bb_member_note_candidate(struct bb_member *m, uint32_t host,
			      uint64_t version, int64_t now_us)
{
	if (m->in_force || version <= m->o.config->version)
		return;
	m->candidate_version = MAX(m->candidate_version, version);
	bb_member_report_newer_version(m, host, version, now_us);
}

bool bb_member_in_force(const struct bb_member *m)
{
	return m->in_force;
}
