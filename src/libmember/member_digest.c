/*
 * Digests: building those that are sent and merging those that are received.
 *
 * Ages are rounded up when a digest is built and counted from the time of the
 * request when it is merged, so that they remain upper bounds at each hop.
 */
#include "libmember/member_private.h"

#include <string.h>

/* Number of values of an age in a digest: one byte, in units of AGE_UNIT_US. */
#define AGE_UNITS 256
#define AGE_UNIT_US (BB_DIGEST_AGE_MS * INT64_C(1000))
#define NOT_INCLUDED UINT16_MAX

/* Fills in the ages in units, rounded up, and counts the seats of each age. */
static void count_by_age(struct bb_member *m, size_t count[AGE_UNITS],
			 int64_t now_us)
{
	uint16_t *units = m->buffer.age_units;
	int64_t unit;

	memset(count, 0, AGE_UNITS * sizeof(*count));
	for (size_t i = 0; i < m->seats_nr; i++) {
		units[i] = NOT_INCLUDED;
		unit = (now_us - m->seats[i].last_ran_us + AGE_UNIT_US - 1) /
		       AGE_UNIT_US;
		if (i == m->self || unit >= AGE_UNITS)
			continue;
		units[i] = (uint16_t)MAX(unit, 0);
		count[units[i]]++;
	}
}

/*
 * Selects the freshest seats, at most @entries of them. Among seats with the
 * same age as the last one that fits, the choice begins at a random index, so
 * that no seat is always left out.
 */
static void select_freshest(struct bb_member *m, size_t entries, int64_t now_us)
{
	uint16_t *units = m->buffer.age_units;
	size_t count[AGE_UNITS], room = entries, start, last = 0;

	count_by_age(m, count, now_us);
	while (last < AGE_UNITS && count[last] <= room)
		room -= count[last++];
	if (last == AGE_UNITS)
		return;
	start = (size_t)g_rand_int_range(m->o.rand, 0, (gint32)m->seats_nr);
	for (size_t i = 0; i < m->seats_nr; i++) {
		uint16_t *unit = &units[(start + i) % m->seats_nr];

		if (*unit == NOT_INCLUDED || *unit < last)
			continue;
		if (*unit == last && room)
			room--;
		else
			*unit = NOT_INCLUDED;
	}
}

/* Version of the section that a seat belongs to, 0 for starting seats. */
static uint64_t section_version(const struct bb_seat *s)
{
	return bb_member_is_starting(s) ? 0 : s->version;
}

/* Collects the highest versions of the selected seats in descending order. */
static size_t collect_versions(const struct bb_member *m,
			       uint64_t versions[BB_DIGEST_SECTIONS_MAX])
{
	size_t nr = 0;

	for (size_t i = 0; i < m->seats_nr; i++) {
		uint64_t version = section_version(&m->seats[i]);
		size_t at = 0;

		if (m->buffer.age_units[i] == NOT_INCLUDED)
			continue;
		while (at < nr && versions[at] > version)
			at++;
		if (at == BB_DIGEST_SECTIONS_MAX ||
		    (at < nr && versions[at] == version))
			continue;
		if (nr < BB_DIGEST_SECTIONS_MAX)
			nr++;
		memmove(&versions[at + 1], &versions[at],
			(nr - at - 1) * sizeof(*versions));
		versions[at] = version;
	}
	return nr;
}

/* Builds section @b; returns the number of ages written to @ages. */
static size_t build_section(struct bb_member *m, size_t b, uint64_t version,
			    char *ages)
{
	size_t bytes = (m->seats_nr + 7) / 8, nr = 0, first = bytes, end = 0;
	char *seats = m->buffer.seats + b * bytes;
	char *stopping = m->buffer.stopping + b * bytes;
	size_t stopping_end = 0;

	memset(seats, 0, bytes);
	memset(stopping, 0, bytes);
	for (size_t i = 0; i < m->seats_nr; i++) {
		const struct bb_seat *s = &m->seats[i];

		if (m->buffer.age_units[i] == NOT_INCLUDED ||
		    section_version(s) != version)
			continue;
		first = MIN(first, i / 8);
		end = i / 8 + 1;
		seats[i / 8] = (char)(seats[i / 8] | 1 << i % 8);
		ages[nr++] = (char)m->buffer.age_units[i];
		if (bb_member_stopping(m, (uint32_t)i)) {
			stopping[i / 8] = (char)(stopping[i / 8] | 1 << i % 8);
			stopping_end = end;
		}
	}
	m->buffer.sections[b] = (struct bb_digest_section){
		.config_version = version,
		.first_seat = (uint32_t)(8 * first),
		.seats = { seats + first, end - first },
		.ages = { ages, nr },
		.stopping = { stopping + first,
			      stopping_end ? stopping_end - first : 0 },
	};
	return nr;
}

void bb_member_build_digest(struct bb_member *m, uint64_t nonce, size_t entries,
			    int64_t now_us)
{
	uint64_t versions[BB_DIGEST_SECTIONS_MAX + 1];
	char *ages = m->buffer.ages;
	size_t nr = 0;

	if (entries) {
		select_freshest(m, entries, now_us);
		nr = collect_versions(m, versions);
	}
	for (size_t b = 0; b < nr; b++)
		ages += build_section(m, b, versions[b], ages);
	m->reply.type = BB_MESSAGE_DIGEST;
	m->reply.digest = (struct bb_message_digest){
		.incarnation = m->o.incarnation,
		.config_version = m->in_force ? m->o.config->version : 0,
		.candidate_version = m->in_force ? 0 :
						   MAX(m->candidate_version,
						       m->o.config->version),
		.nonce = nonce,
		.seats_hash = m->o.config->seats_hash,
		.stopping = m->stopping,
		.sections = m->buffer.sections,
		.sections_nr = nr,
	};
}

static void merge_evidence(struct bb_member *m, uint32_t seat, int64_t ran_us,
			   uint64_t version, bool stopping)
{
	struct bb_seat *s = &m->seats[seat];

	if (seat == m->self)
		return;
	s->version = MAX(s->version, version);
	if (stopping)
		s->last_stopping_us = MAX(s->last_stopping_us, ran_us);
	s->last_ran_us = MAX(s->last_ran_us, ran_us);
	if (!version)
		s->last_starting_us = MAX(s->last_starting_us, ran_us);
	if (!version || ran_us <= s->last_serving_us)
		return;
	s->last_serving_us = ran_us;
	m->quorum_valid = false;
}

/*
 * Index in the present list of a seat of the digest's list, or BB_NO_ROW.
 * @former: the digest's list, or NULL for the present one
 */
static uint32_t map_seat(const struct bb_member *m,
			 const struct bb_former_seats *former, size_t seat)
{
	if (!former)
		return seat < m->seats_nr ? (uint32_t)seat : BB_NO_ROW;
	return seat < former->nr ? former->map[seat] : BB_NO_ROW;
}

static void merge_section(struct bb_member *m,
			  const struct bb_digest_section *b,
			  const struct bb_former_seats *former, int64_t sent_us,
			  int64_t now_us)
{
	uint32_t newest = BB_NO_ROW;
	size_t nr = 0;

	for (size_t i = 0; i < 8 * b->seats.size; i++) {
		unsigned int bit = 1u << i % 8;
		bool stopping = i / 8 < b->stopping.size &&
				b->stopping.data[i / 8] & bit;
		uint32_t seat;
		int64_t age_us;

		if (!(b->seats.data[i / 8] & bit))
			continue;
		age_us = AGE_UNIT_US * (unsigned char)b->ages.data[nr++];
		seat = map_seat(m, former, b->first_seat + i);
		if (seat == BB_NO_ROW)
			continue;
		merge_evidence(m, seat, sent_us - age_us, b->config_version,
			       stopping);
		if (seat != m->self)
			newest = seat;
	}
	bb_member_note_version(m, newest, b->config_version, now_us);
}

void bb_member_merge_digest(struct bb_member *m, uint32_t host,
			    const struct bb_message_digest *d, int64_t sent_us,
			    int64_t now_us)
{
	const struct bb_former_seats *former = NULL;

	bb_member_raise_highest_version(m, d->config_version, now_us);
	for (size_t i = 0; i < d->sections_nr; i++)
		bb_member_raise_highest_version(
			m, d->sections[i].config_version, now_us);
	merge_evidence(m, host, sent_us, d->config_version, d->stopping);
	bb_member_note_version(m, host, d->config_version, now_us);
	bb_member_note_candidate(m, host, d->candidate_version, now_us);
	if (d->seats_hash != m->o.config->seats_hash) {
		for (size_t i = 0; i < BB_MEMBER_FORMER_MAX; i++) {
			if (m->former[i].map &&
			    m->former[i].hash == d->seats_hash)
				former = &m->former[i];
		}
	}
	for (size_t i = 0; i < d->sections_nr; i++) {
		if (former || d->seats_hash == m->o.config->seats_hash)
			merge_section(m, &d->sections[i], former, sent_us,
				      now_us);
		else
			bb_member_note_version(m, BB_NO_ROW,
					       d->sections[i].config_version,
					       now_us);
	}
}
