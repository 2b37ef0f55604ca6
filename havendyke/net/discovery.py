"""The list of servers: once whole, then its changes on watches. Silence is found out by the empty lines, and watches that
hold back what there is by the whole list, which is looked at now and then."""
from hashlib import blake2b

from ..fields import FieldError
from .buffer import Buffer
from .deadlines import Backoff
from .http import DONE, HEAD, REST, Answer, query
from .lines import Lines, value

PATH = "/registry/instances"


class Question:
    """One connection to discovery: the whole list (`follow` false), or a watch from a version on."""

    name = "discovery"

    def __init__(self, discovery, follow, first=True):
        """`first`: what it tells first may be discovery's own new start, at a lower version."""
        self.discovery, self.hub, self.follow = discovery, discovery.hub, follow
        self.since, self.first, self.silence = discovery.version, first, None
        self.answer = self.lines = self.body = None
        self.address, self.sound, self.answered, self.brought = discovery.address, False, False, False
        self.connection = self.hub.connect(self.address, self)
        if self.connection is not None:
            self.listen()

    def listen(self):
        self.hub.drop(self.silence)
        self.silence = self.hub.after(self.hub.limits.discovery_silence, lambda: self.connection.close("silent"))

    def opened(self, connection):
        limits = self.hub.limits
        self.since = self.discovery.version
        self.answer = Answer(connection.buffer, limits.header)
        self.body = Buffer(limits.buffer, limits.message)
        self.lines = Lines(self.body, limits.message)
        path = f"{PATH}?follow=1&since={self.since}" if self.follow else PATH
        connection.write(query(path, self.address, "" if self.follow else "Connection: close\r\n"))

    def received(self, connection):
        while (part := self.part()) is not None:
            self.listen()  # bytes that never make a chunk are silence too
            self.discovery.heard(self)
            self.body.add(part)
            while self.follow and (line := self.lines.next()) is not None:
                if line:
                    self.discovery.object(self, value(line))
        if self.answer.state == DONE:
            self.done()
            self.connection.close("done")

    def part(self):
        part = self.answer.next()
        # Not with the first part: an error without a body passed for a list that was told, or a watch that had ended.
        if self.answer.state != HEAD and self.answer.status != 200:
            raise FieldError(f"status {self.answer.status}")
        return part

    def done(self):
        if not self.follow:
            body = memoryview(self.body.data)[self.body.start:self.body.end]
            self.discovery.whole(self, body)
        self.answered = True

    def closed(self, connection, why):
        self.hub.drop(self.silence)
        # A list without a length ends with its connection; whether it was cut, its own end tells.
        if why == "ended" and not self.follow and self.answer is not None and self.answer.state == REST:
            try:
                self.done()
                why = "done"
            except ValueError as error:
                why = "bad"
                self.hub.count("bad_messages")
                self.hub.log("bad_message", peer=self.name, field=str(error)[:200])
        self.discovery.lost(self, why)


class Discovery:
    def __init__(self, hub, address, messages, tell, version):
        self.hub, self.address, self.messages, self.tell = hub, address, messages, tell
        self.version, self.questions, self.away, self.asking = version, [], False, None
        self.checked = None  # the version and the words of the whole list that was taken last
        self.watching = None
        self.again = Backoff(hub.limits.discovery_again, 16 * hub.limits.discovery_again)

    def start(self):
        self.begin()
        self.hub.after(self.hub.limits.discovery_check, self.check)

    def begin(self):
        self.ask(False)
        self.watch()

    def check(self):
        """A watch that brings its empty lines and nothing else looks like a list that stands still. Beside one that
        stands an older whole list is only late."""
        if self.asking is None and not self.wholes():
            self.ask(False, first=False)
        self.hub.after(self.hub.limits.discovery_check, self.check)

    def move(self, address):
        """Discovery is at another address from now on; the old watches go once a new one has answered."""
        self.address = address
        self.begin()

    def let_go(self):
        if any(q.sound and q.follow for q in self.questions if q.address == self.address):
            for question in [q for q in self.questions if q.address != self.address]:
                question.connection.close("moved")

    def watch(self):
        while sum(q.follow and q.address == self.address for q in self.questions) < self.hub.limits.discovery_streams:
            if not self.ask(True):
                return

    def watch_again(self, wait):
        """One wait for all watches: where each that was lost had its own, and each opened what was missing, those that
        fail at once doubled with every round."""
        if self.watching is None or not wait:
            self.hub.drop(self.watching)
            self.watching = self.hub.after(wait, self.watched)

    def watched(self):
        self.watching = None
        self.watch()

    def ask(self, follow, first=True):
        question = Question(self, follow, first)
        if question.connection is None:
            self.watch_again(self.hub.limits.discovery_again)
            return False
        self.questions.append(question)
        return True

    def wholes(self) -> list:
        """Questions for the whole list that are under way."""
        return [q for q in self.questions if q.address == self.address and not (q.follow or q.answered)]

    def ask_whole(self, wait):
        """The whole list once, however many have reason to ask for it."""
        for question in self.wholes():
            question.first = True  # a look that a loss has overtaken may tell of a new start after all
        if self.asking is None and not self.wholes():
            self.asking = self.hub.after(wait, self.asked)

    def asked(self):
        self.asking = None
        if not self.ask(False):
            self.ask_whole(self.hub.limits.discovery_again)

    def whole(self, question, body):
        """The same words at the version that we have already tell nothing: a look at them costs no turn."""
        if not body:
            raise FieldError("a list without a word")
        words = blake2b(body, digest_size=16).digest()
        if self.checked == (self.version, words):
            self.hub.count("list_checked")
            return
        told = value(body)
        self.object(question, told)
        if told["rev"] == self.version:  # one passed over may be the truth once no watch stands
            self.checked = (self.version, words)

    def object(self, question, told):
        before = self.hub.counters.get("bad_entries", 0)
        event, version = self.messages.members(told, spoilt=self.spoilt)
        if self.hub.counters.get("bad_entries", 0) > before:
            # What it was to tell would be lost with it, a drain perhaps: the whole list has it again.
            self.ask_whole(self.again.next())
        elif event.scope == "whole":
            self.again.reset()
        # A watch tells all since its last object, so what a sooner one has told is left out here. A version
        # gone back to where the whole list begins anew is discovery's own new start.
        anew = question.first and event.scope == "whole" and version < question.since
        question.first = False
        if version > self.version or anew or not question.follow and version == self.version:
            question.brought = question.brought or version != self.version
            self.version = version
            self.hub.count(f"list_{event.scope}")
            self.hub.log("list", scope=event.scope, version=version, entries=len(event.entries))
            self.tell(self.messages.believed(event, version))
        else:
            self.hub.count("list_known")

    def spoilt(self, error):
        self.hub.count("bad_entries")
        self.hub.log("bad_entry", field=str(error)[:200])

    def heard(self, question):
        if not question.sound:
            question.sound = True
            self.hub.after(self.hub.limits.overlap, self.let_go)
        if self.away:
            self.away = False
            self.hub.log("discovery_back")

    def lost(self, question, why):
        self.questions.remove(question)
        if why != "done" and not self.away and question.address == self.address:
            self.away = True
            self.hub.log("discovery_lost", why=why, follow=question.follow)
        if not question.follow:
            if why not in ("done", "moved"):
                self.ask_whole(self.hub.limits.discovery_again)
        else:
            if why != "moved" and not any(q.follow and q.sound for q in self.questions if q.address == self.address):
                # With the last watch discovery itself may have gone, and its versions with it: a new one at the same
                # version, with another list, would tell a watch of ours nothing.
                self.ask_whole(self.hub.limits.discovery_again)
            # Silent ones have waited long enough, and one that told something may have more. Whoever ends each watch
            # at once would be asked a thousand times a second.
            again = why != "silent" and not (why == "done" and question.brought)
            self.watch_again(self.hub.limits.discovery_again if again else 0.0)
